/*
 * The callers' loop and waits.
 */
#include "TestLoop.h"

#include <stdexcept>
#include <vector>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <stdlib.h>

namespace wasabispread::testing {

namespace {

constexpr Duration kPoll = std::chrono::milliseconds(5);
constexpr Duration kConditionLimit = std::chrono::seconds(20);

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
               const std::string& aWhat)
{
  const TimePoint until = VmRunner::Now() + kConditionLimit;
  while (!aCondition()) {
    if (VmRunner::Now() > until) {
      throw std::runtime_error("never came true: " + aWhat);
    }
    boost::this_fiber::sleep_for(kPoll);
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
    throw std::runtime_error("cannot make a folder under /tmp");
  }
  return name;
}

} // namespace wasabispread::testing
