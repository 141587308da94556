/*
 * Runs every registered test of one program, or those below the test named in
 * the first argument. Exits 1 when a test fails that is not listed as a known
 * fault in the file named by WASABISPREAD_KNOWN_RED; listed ones that fail are
 * printed, and so are listed ones that pass and should be taken off the list.
 */
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>
#include <string>

#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestListener.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

namespace {

/** The names on the lines "test: NAME" of the list of known faults. */
std::set<std::string>
ReadKnownFaults()
{
  std::set<std::string> names;
  const char* file = std::getenv("WASABISPREAD_KNOWN_RED");
  if (file == nullptr) {
    return names;
  }
  const std::string prefix = "test: ";
  std::ifstream stream(file);
  for (std::string line; std::getline(stream, line);) {
    if (line.starts_with(prefix)) {
      names.insert(line.substr(prefix.size()));
    }
  }
  return names;
}

/** Records which tests ran and which of them failed. */
class NameCollector : public CppUnit::TestListener
{
public:
  void startTest(CppUnit::Test* aTest) override
  {
    mStarted.insert(aTest->getName());
  }

  void addFailure(const CppUnit::TestFailure& aFailure) override
  {
    mFailed.insert(aFailure.failedTestName());
  }

  const std::set<std::string>& Started() const { return mStarted; }
  const std::set<std::string>& Failed() const { return mFailed; }

private:
  std::set<std::string> mStarted;
  std::set<std::string> mFailed;
};

/** Prints the outcome of each failed test and of each known fault that no
    longer fails. Returns the number of failures that are not known faults. */
std::size_t
ReportFailures(const NameCollector& aNames)
{
  const std::set<std::string> known = ReadKnownFaults();
  std::size_t unexpected = 0;
  for (const std::string& name : aNames.Failed()) {
    if (known.contains(name)) {
      std::cout << "known red: " << name << "\n";
    } else {
      std::cout << "FAILED: " << name << "\n";
      ++unexpected;
    }
  }
  for (const std::string& name : known) {
    if (aNames.Started().contains(name) && !aNames.Failed().contains(name)) {
      std::cout << "listed as known red, but passes: " << name << "\n";
    }
  }
  return unexpected;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  NameCollector names;
  result.addListener(&collector);
  result.addListener(&names);
  runner.run(result, aCount > 1 ? aArguments[1] : "");
  CppUnit::CompilerOutputter(&collector, std::cout).write();
  const std::size_t unexpected = ReportFailures(names);
  std::cout << names.Started().size() - names.Failed().size() << " passed, "
            << names.Failed().size() << " failed\n";
  return unexpected == 0 && !names.Started().empty() ? 0 : 1;
}
