/*
 * Runs every registered test of one program; exits 1 when any fails.
 */
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

int
main(int aCount, char** aArguments)
{
  CppUnit::TextUi::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  const std::string only = aCount > 1 ? aArguments[1] : "";
  return runner.run(only) ? 0 : 1;
}
