#ifndef QUETZALQUAY_GATEWAY_TRIALROWS_H_INCLUDED
#define QUETZALQUAY_GATEWAY_TRIALROWS_H_INCLUDED

#include "core/TrialRecord.h"
#include "gateway/Fleet.h"
#include "platform/PlatformStore.h"

#include <cstdint>
#include <map>
#include <string>

namespace quetzalquay {

// The store's rows of trials as this host knows them: as it last read or wrote
// them itself, or as the readers of the table have.
class TrialRows
{
public:
  struct Row
  {
    TrialRecord mRecord;
    std::int64_t mVersion = 0;
    // Since when the row has been unchanged.
    Time mSince;

    // Whether another host's trial is in progress.
    bool IsTaken() const;
  };

  explicit TrialRows(Fleet& aFleet)
    : mFleet(aFleet)
  {
  }

  // The row with a key; one without a record if there is none.
  Row& Of(const std::string& aKey);

  // Takes over a row that was read from the store.
  void OnRead(const platform::StoreRow& aRow);

  // Takes over a record that this host has written.
  void OnWritten(const std::string& aKey,
                 const TrialRecord& aRecord,
                 std::int64_t aVersion);

  void Forget(const std::string& aKey) { mRows.erase(aKey); }

  // Forgets rows that have been unchanged for long.
  void Expire(Time aNow);

private:
  void ForgetEarlierEras();

  Fleet& mFleet;
  // Era of the store in which the rows were read.
  StoreEra mEra;
  std::map<std::string, Row> mRows;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_TRIALROWS_H_INCLUDED
