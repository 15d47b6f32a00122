// Runs the suites named, or all: duneturn-tests [SUITE…]
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>

#include "test.hpp"

auto main(int argc, char** argv) -> int {
    auto result = CppUnit::TestResult();
    auto collector = CppUnit::TestResultCollector();
    auto progress = CppUnit::BriefTestProgressListener();
    result.addListener(&collector);
    result.addListener(&progress);
    auto runner = CppUnit::TestRunner();
    for (auto i = 1; i < argc; i++)
        runner.addTest(CppUnit::TestFactoryRegistry::getRegistry(argv[i]).makeTest());
    runner.run(result);
    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    // A suite that holds no test must not pass for a green one.
    return collector.runTests() > 0 && collector.wasSuccessful() ? 0 : 1;
}
