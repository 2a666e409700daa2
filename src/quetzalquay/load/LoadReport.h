#ifndef QUETZALQUAY_LOAD_LOADREPORT_H_INCLUDED
#define QUETZALQUAY_LOAD_LOADREPORT_H_INCLUDED

#include "generated/messages.pb.h"

#include <string>
#include <vector>

namespace quetzalquay {

// Quantiles of samples; zero when there are none.
schema::Quantiles
QuantilesOf(std::vector<float> aSamples);

// Result of a run: its quantiles, ratios, errors and the checker's findings.
schema::LoadResult
MakeReport(const std::string& aName,
           const schema::History& aHistory,
           const std::vector<float>& aGaps,
           double aSeconds);

// The result as a short table.
std::string
PrintReport(const schema::LoadResult& aResult);

} // namespace quetzalquay

#endif // QUETZALQUAY_LOAD_LOADREPORT_H_INCLUDED
