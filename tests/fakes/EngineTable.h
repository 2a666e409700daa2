#ifndef QUETZALQUAY_TESTS_FAKES_ENGINETABLE_H_INCLUDED
#define QUETZALQUAY_TESTS_FAKES_ENGINETABLE_H_INCLUDED

#include "core/TargetTable.h"

#include <string>

// Time of the given number of milliseconds after the start of a test.
quetzalquay::Time
At(int aMs);

// Declares twelve engines in a table, "t0" to "t11", four at each of the places
// "p0" to "p2". All of them get the given incarnation.
void
DeclareEngines(quetzalquay::TargetTable& aTable,
               quetzalquay::Time aNow,
               const std::string& aIncarnation = "1");

// Creates a table with the engines of DeclareEngines(). aCommonDeaths is the
// option of the same name.
quetzalquay::TargetTable
MakeEngineTable(int aCommonDeaths = 3);

// Place of one of these engines.
std::string
PlaceOf(const std::string& aTarget);

// Creates a query for a request with 8,000 prompt and 1,000 output tokens.
quetzalquay::ChoiceQuery
MakeQuery(const std::string& aId = "r1", std::uint64_t aContent = 1);

#endif // QUETZALQUAY_TESTS_FAKES_ENGINETABLE_H_INCLUDED
