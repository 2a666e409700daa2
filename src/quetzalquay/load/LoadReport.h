#ifndef QUETZALQUAY_LOAD_LOADREPORT_H_INCLUDED
#define QUETZALQUAY_LOAD_LOADREPORT_H_INCLUDED

#include "generated/messages.pb.h"

#include <string>
#include <vector>

namespace quetzalquay {

// Computes the quantiles of samples. All are zero when there are no samples.
schema::Quantiles
ComputeQuantiles(std::vector<float> aSamples);

// Summarizes a run: quantiles, ratios, error counts and the findings of the
// history checker. aTokenGapsMs holds the times between tokens in milliseconds,
// aSeconds the duration of the run.
schema::LoadResult
MakeLoadResult(const std::string& aName,
               const schema::History& aHistory,
               const std::vector<float>& aTokenGapsMs,
               double aSeconds);

// Formats the result as a short table.
std::string
FormatLoadResult(const schema::LoadResult& aResult);

} // namespace quetzalquay

#endif // QUETZALQUAY_LOAD_LOADREPORT_H_INCLUDED
