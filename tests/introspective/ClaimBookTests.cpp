#include "FakeStore.h"
#include "Property.h"

#include "core/ClaimBatcher.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

using namespace quetzalquay;

namespace {

ClaimCodec
Codec()
{
  ClaimCodec codec;
  codec.mEncode = [](const ClaimRecord& aRecord) {
    const std::string outcome =
      aRecord.mOutcome ? std::string(NameOf(*aRecord.mOutcome)) : "-";
    return aRecord.mNonce + " " + outcome;
  };
  codec.mDecode = [](const std::string& aValue) -> std::optional<ClaimRecord> {
    const std::size_t space = aValue.find(' ');
    if (space == std::string::npos) {
      return std::nullopt;
    }
    ClaimRecord record;
    record.mNonce = aValue.substr(0, space);
    record.mOutcome = ParseRunVerdict(aValue.substr(space + 1));
    return record;
  };
  return codec;
}

ClaimRecord
RecordOf(const std::string& aNonce)
{
  ClaimRecord record;
  record.mNonce = aNonce;
  return record;
}

Time
At(int aMs)
{
  return Time(std::chrono::milliseconds(aMs));
}

// Commits the book's next transaction, if any, and collects the claim results.
void
CommitNext(ClaimBatcher& aBatcher,
           FakeStore& aTable,
           FakeStore::FailureMode aFailureMode,
           Time aNow,
           std::vector<ClaimResult>& aAnswers)
{
  aTable.mFailureMode = [aFailureMode] { return aFailureMode; };
  if (const auto transaction = aBatcher.NextTransaction()) {
    const auto answers =
      aBatcher.OnResult(aTable.Commit(*transaction, Duration()), aNow);
    aAnswers.insert(aAnswers.end(), answers.begin(), answers.end());
  }
}

FakeStore::FailureMode
RandomFailureMode()
{
  return static_cast<FakeStore::FailureMode>(
    *rc::gen::inRange(0, static_cast<int>(FakeStore::Last)));
}

} // namespace

class ClaimBookTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ClaimBookTests);
  CPPUNIT_TEST(KeyIsClaimedAtMostOnce);
  CPPUNIT_TEST(EveryClaimGetsOneResult);
  CPPUNIT_TEST(LostCommitResponseIsResolvedAsClaimed);
  CPPUNIT_TEST(TakenClaimReportsTheOutcome);
  CPPUNIT_TEST(ReleasedKeyCanBeClaimedAgain);
  CPPUNIT_TEST(TakenClaimDoesNotBlockOthersInItsBatch);
  CPPUNIT_TEST_SUITE_END();

public:
  void KeyIsClaimedAtMostOnce()
  {
    CheckProperty("a key is claimed by at most one router", [] {
      FakeStore table;
      std::vector<ClaimBatcher> batchers(3, ClaimBatcher("claims", Codec()));
      std::vector<ClaimResult> answers;
      std::map<std::string, std::string> keys;
      const int steps = *rc::gen::inRange(1, 60);
      for (int n = 0; n < steps; ++n) {
        const int batcher = *rc::gen::inRange(0, 3);
        if (*rc::gen::arbitrary<bool>()) {
          const std::string key = "k" + std::to_string(*rc::gen::inRange(0, 3));
          const std::string nonce = "n" + std::to_string(n);
          keys[nonce] = key;
          batchers[static_cast<std::size_t>(batcher)].Claim(
            key, RecordOf(nonce), At(*rc::gen::inRange(0, 100)));
        } else {
          CommitNext(batchers[static_cast<std::size_t>(batcher)],
                     table,
                     RandomFailureMode(),
                     At(n),
                     answers);
        }
      }
      std::map<std::string, int> claimed;
      for (const ClaimResult& it : answers) {
        if (it.mStatus == ClaimStatus::Claimed) {
          RC_ASSERT(++claimed[keys[it.mNonce]] == 1);
        }
      }
    });
  }

  void EveryClaimGetsOneResult()
  {
    CheckProperty("every claim gets exactly one result by its time limit", [] {
      FakeStore table;
      ClaimBatcher batcher("claims", Codec());
      std::vector<ClaimResult> answers;
      const int claims = *rc::gen::inRange(1, 100);
      for (int n = 0; n < claims; ++n) {
        batcher.Claim("k" + std::to_string(*rc::gen::inRange(0, 20)),
                      RecordOf("n" + std::to_string(n)),
                      At(50));
      }
      for (int n = 0; n < 200 && batcher.Size() > 0; ++n) {
        CommitNext(batcher, table, RandomFailureMode(), At(n), answers);
      }
      RC_ASSERT(static_cast<int>(answers.size()) == claims);
    });
  }

  void LostCommitResponseIsResolvedAsClaimed()
  {
    FakeStore table;
    ClaimBatcher batcher("claims", Codec());
    std::vector<ClaimResult> answers;
    batcher.Claim("k", RecordOf("n1"), At(1000));
    CommitNext(batcher, table, FakeStore::ResponseLost, At(1), answers);
    CPPUNIT_ASSERT(answers.empty());
    CommitNext(batcher, table, FakeStore::Healthy, At(2), answers);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), answers.size());
    CPPUNIT_ASSERT(answers[0].mStatus == ClaimStatus::Claimed);
    CPPUNIT_ASSERT(answers[0].mVersion > 0);
  }

  void TakenClaimReportsTheOutcome()
  {
    FakeStore table;
    ClaimBatcher first("claims", Codec());
    ClaimBatcher second("claims", Codec());
    std::vector<ClaimResult> answers;
    first.Claim("k", RecordOf("n1"), At(1000));
    CommitNext(first, table, FakeStore::Healthy, At(1), answers);
    ClaimRecord settled = RecordOf("n1");
    settled.mOutcome = RunVerdict::Ran;
    first.RecordOutcome("k", settled, answers[0].mVersion, At(1000));
    CommitNext(first, table, FakeStore::ResponseLost, At(2), answers);
    CommitNext(first, table, FakeStore::Healthy, At(3), answers);
    second.Claim("k", RecordOf("n2"), At(1000));
    CommitNext(second, table, FakeStore::Healthy, At(4), answers);
    CPPUNIT_ASSERT(answers.back().mStatus == ClaimStatus::Taken);
    CPPUNIT_ASSERT(answers.back().mOther.mOutcome == RunVerdict::Ran);
  }

  void ReleasedKeyCanBeClaimedAgain()
  {
    FakeStore table;
    ClaimBatcher batcher("claims", Codec());
    std::vector<ClaimResult> answers;
    batcher.Claim("k", RecordOf("n1"), At(1000));
    CommitNext(batcher, table, FakeStore::Healthy, At(1), answers);
    batcher.Release("k", answers[0].mVersion, At(1000));
    batcher.Claim("k", RecordOf("n2"), At(1000));
    CommitNext(batcher, table, FakeStore::Healthy, At(2), answers);
    CommitNext(batcher, table, FakeStore::Healthy, At(3), answers);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), answers.size());
    CPPUNIT_ASSERT(answers[1].mStatus == ClaimStatus::Claimed);
  }

  void TakenClaimDoesNotBlockOthersInItsBatch()
  {
    FakeStore table;
    ClaimBatcher first("claims", Codec());
    ClaimBatcher second("claims", Codec());
    std::vector<ClaimResult> answers;
    first.Claim("k1", RecordOf("n1"), At(1000));
    CommitNext(first, table, FakeStore::Healthy, At(1), answers);
    second.Claim("k1", RecordOf("n2"), At(1000));
    second.Claim("k2", RecordOf("n3"), At(1000));
    CommitNext(second, table, FakeStore::Healthy, At(2), answers);
    CommitNext(second, table, FakeStore::Healthy, At(3), answers);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), answers.size());
    CPPUNIT_ASSERT(answers[1].mStatus == ClaimStatus::Taken);
    CPPUNIT_ASSERT(answers[2].mStatus == ClaimStatus::Claimed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimBookTests);
