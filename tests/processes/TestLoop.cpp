/*
 * Implements the I/O loop, waits and concurrent runs of the process tests.
 */
#include "TestLoop.h"

#include <stdexcept>
#include <vector>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <stdlib.h>

namespace wasabispread::testing {

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(5);

} // namespace

IoLoop&
TestLoop()
{
  // Never destroyed: fibers of failed tests may still refer to it.
  static IoLoop* loop = new IoLoop();
  return *loop;
}

void
AwaitCondition(const std::function<bool()>& aCondition,
               const std::string& aWhat,
               Duration aTimeout)
{
  const TimePoint deadline = VmRunner::Now() + aTimeout;
  while (!aCondition()) {
    if (VmRunner::Now() > deadline) {
      throw std::runtime_error(
        "condition not met within " +
        std::to_string(std::chrono::duration<double>(aTimeout).count()) +
        " s: " + aWhat);
    }
    boost::this_fiber::sleep_for(kPollInterval);
  }
}

void
RunConcurrently(std::size_t aFibers,
                const std::function<void(std::size_t)>& aBody)
{
  std::vector<boost::fibers::fiber> fibers;
  std::exception_ptr failure;
  for (std::size_t index = 0; index < aFibers; ++index) {
    fibers.emplace_back(boost::fibers::launch::post, [&aBody, &failure, index] {
      try {
        aBody(index);
      } catch (...) {
        failure = std::current_exception();
      }
    });
  }
  for (auto& fiber : fibers) {
    fiber.join();
  }
  if (failure) {
    std::rethrow_exception(failure);
  }
}

std::string
MakeFolder()
{
  std::string name = "/tmp/wasabispread-XXXXXX";
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create a folder under /tmp");
  }
  return name;
}

} // namespace wasabispread::testing
