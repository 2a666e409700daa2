#include "GatewayProcess.h"
#include "StoreServer.h"
#include "gateway/StoreWatch.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <map>
#include <string>
#include <vector>

using namespace quetzalquay;
using platform::StoreRow;
using std::chrono::milliseconds;

namespace {

std::string
Row(const std::string& aKey, int aVersion)
{
  return R"({"Key":")" + aKey + R"(","Value":"","Ver":)" +
         std::to_string(aVersion) + "}";
}

std::string
Removed(const std::string& aKey, int aVersion)
{
  return R"({"Key":")" + aKey + R"(","Removed":true,"Ver":)" +
         std::to_string(aVersion) + "}";
}

// Status and body of a reply.
struct Reply
{
  int mStatus = 200;
  std::string mBody;
};

Reply
Rows(const std::string& aRows, int aVersion, bool aHasMore = false)
{
  return { 200,
           R"({"Rows":[)" + aRows + R"(],"HasMore":)" +
             (aHasMore ? "true" : "false") + R"(,"Ver":)" +
             std::to_string(aVersion) + R"(,"NowMs":1})" };
}

// A watcher of the targets table and a store that gives the replies of a
// script, and then says that nothing has changed. Rows are kept as hosts keep
// them: by version, and a complete table removes what it leaves out.
class WatchedTable
{
public:
  explicit WatchedTable(std::deque<Reply> aReplies)
    : mReplies(std::move(aReplies))
    , mAddress(boost::asio::ip::address_v4::loopback(),
               static_cast<unsigned short>(FindFreePort()))
    , mStore(mLoop,
             [this](const HttpHead& aHead, const std::string&, Duration) {
               return Answer(aHead);
             })
    , mWatcher(
        mLoop,
        mAddress,
        mReplyBuffers,
        { platform::StoreTable::Targets,
          Duration::zero(),
          milliseconds(5),
          [] { return true; },
          [this] { return mVersion; },
          [this](const HttpHead&, std::int64_t aVersion, std::int64_t aKnown) {
            mReturns += aVersion != 0 && aVersion < aKnown ? 1 : 0;
            return false;
          } },
        [this](const std::vector<StoreRow>& aRows,
               bool aIsComplete,
               std::int64_t aVersion) { Apply(aRows, aIsComplete, aVersion); },
        [](StoreCallEnd, Time) {})
  {
    CPPUNIT_ASSERT(!mStore.Open(mAddress));
  }

  // Reads until the script has ended.
  void Read()
  {
    Timer limit(mLoop, [this] { mLoop.Stop(); });
    limit.ScheduleAt(EventLoop::Now() + milliseconds(5000));
    mWatcher.Start();
    mLoop.Run();
  }

  // Another host tells of a row.
  void Tell(const std::string& aKey, std::int64_t aVersion)
  {
    mRows[aKey] = aVersion;
    mVersion = std::max(mVersion, aVersion);
  }

  std::string Keys() const
  {
    std::string keys;
    for (const auto& it : mRows) {
      keys += it.first;
    }
    return keys;
  }

  bool mIsComplete = false;
  // Number of complete tables of a version below a known one.
  int mReturns = 0;
  // The targets of the calls, in order.
  std::vector<std::string> mCalls;

private:
  std::optional<SimpleHttpReply> Answer(const HttpHead& aHead)
  {
    SimpleHttpReply reply;
    reply.mContentType = "application/json";
    if (mReplies.empty()) {
      mLoop.Stop();
      reply.mBody = Rows("", 0).mBody;
      return reply;
    }
    mCalls.push_back(aHead.mTarget);
    reply.mStatus = mReplies.front().mStatus;
    reply.mBody = mReplies.front().mBody;
    mReplies.pop_front();
    return reply;
  }

  void Apply(const std::vector<StoreRow>& aRows,
             bool aIsComplete,
             std::int64_t aVersion)
  {
    std::map<std::string, std::int64_t> complete;
    for (const StoreRow& it : aRows) {
      mVersion = std::max(mVersion, it.mVersion);
      complete[it.mKey] = it.mVersion;
      if (it.mRemoved) {
        mRows.erase(it.mKey);
      } else {
        mRows[it.mKey] = it.mVersion;
      }
    }
    if (aIsComplete && aVersion >= mVersion) {
      mIsComplete = true;
      mRows = complete;
    }
    mVersion = std::max(mVersion, aVersion);
  }

  EventLoop mLoop;
  std::deque<Reply> mReplies;
  Endpoint mAddress;
  StoreServer mStore;
  std::map<std::string, std::int64_t> mRows;
  std::int64_t mVersion = 0;
  ReplyBuffers mReplyBuffers{ 1U << 20U };
  TableWatcher mWatcher;
};

} // namespace

class TableWatcherTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TableWatcherTests);
  CPPUNIT_TEST(AChangeBetweenTwoPagesIsNotMissed);
  CPPUNIT_TEST(ARemovalThatAnotherHostIsAheadOfIsNotMissed);
  CPPUNIT_TEST(ATableBehindOtherHostsIsPassedOn);
  CPPUNIT_TEST(ATableIsReadAgainIfItsChangesAreGone);
  CPPUNIT_TEST(AVersionWithoutRowsIsKnownWhenTheTableIsReadAgain);
  CPPUNIT_TEST(APageWithoutRowsIsNotReadForEver);
  CPPUNIT_TEST(ChangesThatEndEarlyAreNotReadForEver);
  CPPUNIT_TEST(ChangesInSeveralPartsAreAllRead);
  CPPUNIT_TEST(MissedChangesInSeveralPartsAreAllRead);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a table of several pages that is never known as complete,
  // and a removed row that stays, as a row of a later page is newer than the
  // first page.
  void AChangeBetweenTwoPagesIsNotMissed()
  {
    WatchedTable table({ Rows(Row("a", 5) + "," + Row("b", 6), 10, true),
                         Rows(Row("c", 12), 12),
                         Rows(Removed("a", 11) + "," + Row("c", 12), 12) });
    table.Read();
    CPPUNIT_ASSERT_EQUAL(std::string("bc"), table.Keys());
    CPPUNIT_ASSERT(table.mIsComplete);
  }

  // Guards against a complete table that is dropped, as another host told of
  // newer rows while it was read: a row that was removed before stays.
  void ARemovalThatAnotherHostIsAheadOfIsNotMissed()
  {
    WatchedTable table({ Rows(Row("b", 6), 10), Rows(Row("c", 12), 12) });
    table.Tell("a", 5);
    table.Tell("c", 12);
    table.Read();
    CPPUNIT_ASSERT_EQUAL(std::string("bc"), table.Keys());
    CPPUNIT_ASSERT(table.mIsComplete);
  }

  // Guards against a table that is never passed on, as the store has lost what
  // other hosts know.
  void ATableBehindOtherHostsIsPassedOn()
  {
    WatchedTable table({ Rows(Row("b", 6), 10), Rows("", 10) });
    table.Tell("c", 12);
    table.Read();
    CPPUNIT_ASSERT_EQUAL(std::string("bc"), table.Keys());
  }

  void ATableIsReadAgainIfItsChangesAreGone()
  {
    WatchedTable table({ Rows(Row("a", 5), 10, true),
                         Rows(Row("c", 12), 12),
                         { 410, "" },
                         Rows(Row("b", 6), 13, true),
                         Rows(Row("c", 12), 13) });
    table.Read();
    CPPUNIT_ASSERT_EQUAL(std::string("bc"), table.Keys());
    CPPUNIT_ASSERT(table.mIsComplete);
  }

  // Guards against a return of the store from an older copy that is not
  // noticed, as the lost part has no rows of the table.
  void AVersionWithoutRowsIsKnownWhenTheTableIsReadAgain()
  {
    WatchedTable table({ Rows(Row("a", 5), 5),
                         Rows("", 12),
                         { 410, "" },
                         Rows(Row("a", 5), 11),
                         Rows("", 13),
                         { 410, "" },
                         Rows(Row("a", 5), 13) });
    table.Read();
    CPPUNIT_ASSERT_EQUAL(1, table.mReturns);
  }

  // Guards against a store that says that more rows follow and sends none being
  // asked without a pause.
  void APageWithoutRowsIsNotReadForEver()
  {
    WatchedTable table({ Rows(Row("a", 5), 10, true),
                         Rows("", 10, true),
                         Rows(Row("a", 5), 10, true),
                         Rows(Row("b", 6), 10) });
    table.Read();
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), table.Keys());
    CPPUNIT_ASSERT(table.mCalls[2].find("From") == std::string::npos);
  }

  // Guards against changes that are never read, as a reply with a part of them
  // has the newest version of the store.
  void ChangesInSeveralPartsAreAllRead()
  {
    WatchedTable table({ Rows(Row("a", 5), 10),
                         Rows(Row("b", 11) + "," + Row("c", 12), 20, true),
                         Rows(Removed("a", 13), 20, true),
                         Rows(Row("d", 20), 20) });
    table.Read();
    CPPUNIT_ASSERT_EQUAL(std::string("bcd"), table.Keys());
    CPPUNIT_ASSERT(table.mCalls[2].find("AfterRevision=12") !=
                   std::string::npos);
    CPPUNIT_ASSERT(table.mCalls[3].find("AfterRevision=13") !=
                   std::string::npos);
  }

  // The same for changes between the pages of a complete table.
  void MissedChangesInSeveralPartsAreAllRead()
  {
    WatchedTable table({ Rows(Row("a", 5), 10, true),
                         Rows(Row("c", 12), 20),
                         Rows(Row("c", 12), 20, true),
                         Rows(Removed("a", 20), 20) });
    table.Tell("d", 20);
    table.Read();
    CPPUNIT_ASSERT_EQUAL(std::string("c"), table.Keys());
    CPPUNIT_ASSERT(table.mCalls[3].find("AfterRevision=12") !=
                   std::string::npos);
  }

  void ChangesThatEndEarlyAreNotReadForEver()
  {
    WatchedTable table({ Rows(Row("a", 5), 10, true),
                         Rows(Row("c", 12), 12),
                         Rows("", 10),
                         Rows(Row("a", 5) + "," + Row("c", 12), 12) });
    table.Read();
    CPPUNIT_ASSERT_EQUAL(std::string("ac"), table.Keys());
    CPPUNIT_ASSERT(table.mIsComplete);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableWatcherTests);
