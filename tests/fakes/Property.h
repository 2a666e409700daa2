#ifndef QUETZALQUAY_TESTS_FAKES_PROPERTY_H_INCLUDED
#define QUETZALQUAY_TESTS_FAKES_PROPERTY_H_INCLUDED

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <string>
#include <utility>

// Checks a RapidCheck property; fails the CppUnit test if it does not hold.
template<typename Property>
void
CheckProperty(const std::string& aName, Property&& aProperty)
{
  CPPUNIT_ASSERT_MESSAGE(aName,
                         rc::check(aName, std::forward<Property>(aProperty)));
}

#endif // QUETZALQUAY_TESTS_FAKES_PROPERTY_H_INCLUDED
