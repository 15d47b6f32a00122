#pragma once
// CppUnit, with one short way to register a test.
#include <cppunit/TestCaller.h>
#include <cppunit/TestFixture.h>
#include <cppunit/TestSuite.h>
#include <cppunit/extensions/HelperMacros.h>

#define DT_CAT2(a, b) a##b
#define DT_CAT(a, b) DT_CAT2(a, b)
/// TEST(Suite, name) { … }: one test of a suite that ctest runs by its name.
#define TEST(suite, name)                                                                                   \
    struct suite##_##name : CppUnit::TestFixture {                                                          \
        auto run() -> void;                                                                                 \
    };                                                                                                      \
    struct suite##_##name##_reg : CppUnit::TestFactory {                                                    \
        suite##_##name##_reg() { CppUnit::TestFactoryRegistry::getRegistry(#suite).registerFactory(this); } \
        ~suite##_##name##_reg() override {                                                                  \
            CppUnit::TestFactoryRegistry::getRegistry(#suite).unregisterFactory(this);                      \
        }                                                                                                   \
        auto makeTest() -> CppUnit::Test* override {                                                        \
            return new CppUnit::TestCaller<suite##_##name>(#suite "." #name, &suite##_##name::run);         \
        }                                                                                                   \
    };                                                                                                      \
    static suite##_##name##_reg suite##_##name##_one;                                                       \
    auto suite##_##name::run()->void

#define CHECK(x) CPPUNIT_ASSERT(x)
#define CHECK_EQ(a, b) CPPUNIT_ASSERT_EQUAL_MESSAGE(#a " == " #b, (a), (b))
