#include "EngineTable.h"

using namespace quetzalquay;
using std::chrono::milliseconds;

Time
At(int aMs)
{
  return Time(std::chrono::hours(1) + milliseconds(aMs));
}

void
DeclareEngines(TargetTable& aTable, Time aNow, const std::string& aIncarnation)
{
  std::vector<TargetDeclaration> targets;
  for (int n = 0; n < 12; ++n) {
    TargetDeclaration target;
    target.mName = "t" + std::to_string(n);
    target.mService = "pool";
    target.mPlace = "p" + std::to_string(n % 3);
    target.mRegion = "region";
    target.mIncarnation = aIncarnation;
    target.mMemoryTokens = 88000;
    targets.push_back(target);
  }
  ServiceDeclaration service;
  service.mName = "pool";
  aTable.Declare({ service }, targets, "region", aNow);
}

TargetTable
MakeEngineTable(int aCommonDeaths)
{
  TargetTableOptions options;
  options.mRouterName = "r";
  options.mPlace = "p0";
  options.mSampleSize = 0;
  options.mIsolateSuspects = false;
  options.mCommonDeathThreshold = aCommonDeaths;
  options.mDoubtDuration = milliseconds(3600);
  options.mPlaceLossThreshold = 2;
  options.mSeed = 5;
  TargetTable table(options);
  DeclareEngines(table, At(0));
  return table;
}

std::string
PlaceOf(const std::string& aTarget)
{
  return "p" + std::to_string(std::stoi(aTarget.substr(1)) % 3);
}

ChoiceQuery
MakeQuery(const std::string& aId, std::uint64_t aContent)
{
  ChoiceQuery query;
  query.mService = "pool";
  query.mRequestId = aId;
  query.mWorkspace = "w";
  query.mContent = aContent;
  query.mPromptTokens = 8000;
  query.mOutputTokens = 1000;
  query.mDeadline = At(60000);
  return query;
}
