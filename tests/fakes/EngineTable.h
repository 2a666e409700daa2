#ifndef QUETZALQUAY_TESTS_FAKES_ENGINETABLE_H_INCLUDED
#define QUETZALQUAY_TESTS_FAKES_ENGINETABLE_H_INCLUDED

#include "core/TargetTable.h"

#include <string>

// A moment, in milliseconds from the beginning of a test.
quetzalquay::Time
At(int aMs);

// Declares twelve engines, four at each of three places, in a table. The name
// of each one gets an incarnation.
void
DeclareEngines(quetzalquay::TargetTable& aTable,
               quetzalquay::Time aNow,
               const std::string& aIncarnation = "1");

// Table of these engines.
quetzalquay::TargetTable
Engines(int aCommonDeaths = 3);

// Place of one of the engines.
std::string
PlaceOf(const std::string& aTarget);

// Query of a request with a prompt of 8,000 tokens.
quetzalquay::ChoiceQuery
Query(const std::string& aId = "r1", std::uint64_t aContent = 1);

#endif // QUETZALQUAY_TESTS_FAKES_ENGINETABLE_H_INCLUDED
