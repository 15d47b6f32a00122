// Runs the suites named, or all: duneturn-tests [SUITE…]
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>

#include "test.hpp"

auto main(int argc, char** argv) -> int {
    auto res = CppUnit::TestResult();
    auto col = CppUnit::TestResultCollector();
    auto brief = CppUnit::BriefTestProgressListener();
    res.addListener(&col);
    res.addListener(&brief);
    auto run = CppUnit::TestRunner();
    for (auto i = 1; i < argc; i++)
        run.addTest(CppUnit::TestFactoryRegistry::getRegistry(argv[i]).makeTest());
    run.run(res);
    CppUnit::CompilerOutputter(&col, std::cerr).write();
    // A suite that holds no test must not pass for a green one.
    return col.runTests() > 0 && col.wasSuccessful() ? 0 : 1;
}
