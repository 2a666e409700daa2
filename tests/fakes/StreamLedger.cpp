#include "StreamLedger.h"

#include <cstdlib>
#include <map>
#include <set>
#include <sstream>

using namespace quetzalquay;

namespace {

// Time by which a runner's deadline may be later than that of the caller.
constexpr auto kDeadlineSlack = std::chrono::milliseconds(500);

// Value of a header field; empty if there is none.
std::string
ValueOf(const HttpHead& aHead, const char* aName)
{
  const std::string* value = aHead.Find(aName);
  return value == nullptr ? std::string() : *value;
}

// Which stream an attempt belongs to.
struct Origin
{
  const CallerStream* mStream = nullptr;
  const StreamAttempt* mAttempt = nullptr;
};

class Reporter
{
public:
  void ReadStream(const CallerStream& aStream);
  void ReadRequest(const RunnerRequest& aRequest);
  void ReadRun(const RunnerRequest& aRun);

  StreamReport mReport;

private:
  void ReadAttempt(const CallerStream& aStream, const StreamAttempt& aAttempt);
  void ReadPieces(const CallerStream& aStream);
  static void CountShare(const CallerStream& aStream,
                         bool aTakenUp,
                         StreamShare& aShare);
  void AddFault(int& aCount,
                const std::string& aRequest,
                const std::string& aText);

  std::map<std::string, Origin> mOrigins;
};

void
Reporter::AddFault(int& aCount,
                   const std::string& aRequest,
                   const std::string& aText)
{
  ++aCount;
  mReport.mFaults += aRequest + ": " + aText + "\n";
}

void
Reporter::ReadStream(const CallerStream& aStream)
{
  ++mReport.mStreams;
  mReport.mComplete += aStream.IsComplete() ? 1 : 0;
  for (const StreamAttempt& it : aStream.mAttempts) {
    mOrigins[it.mRequestId] = { &aStream, &it };
    ReadAttempt(aStream, it);
  }
  ReadPieces(aStream);
  CountShare(aStream, false, mReport.mBegun);
  CountShare(aStream, true, mReport.mTakenUp);
}

// Counts a stream that its caller began, or took up, in a share.
void
Reporter::CountShare(const CallerStream& aStream,
                     bool aTakenUp,
                     StreamShare& aShare)
{
  int attempts = 0;
  bool served = false;
  for (const StreamAttempt& it : aStream.mAttempts) {
    if (it.mHostSound && it.mRunnersServed &&
        (it.mAfterEvent > 0) == aTakenUp) {
      ++attempts;
      served |= !it.mPieces.empty() || it.IsComplete();
    }
  }
  aShare.mAttempts += attempts;
  aShare.mAsked += attempts > 0 ? 1 : 0;
  aShare.mServed += served ? 1 : 0;
}

void
Reporter::ReadAttempt(const CallerStream& aStream,
                      const StreamAttempt& aAttempt)
{
  const HttpHead& head = aAttempt.mAnswer.mHead;
  if (head.mStatus != 0 &&
      ValueOf(head, "X-Request-Id") != aAttempt.mRequestId) {
    AddFault(mReport.mUnsigned, aAttempt.mRequestId, "answer without its ID");
  }
  if (head.mStatus == 200 && ValueOf(head, "X-Server-Seal").empty()) {
    AddFault(mReport.mUnsigned, aAttempt.mRequestId, "success without a seal");
  }
  if (aAttempt.IsComplete() &&
      aStream.LastEvent() != GatewayTestCluster::kEvents) {
    AddFault(mReport.mDisordered,
             aAttempt.mRequestId,
             "complete after event " + std::to_string(aStream.LastEvent()));
  }
}

void
Reporter::ReadPieces(const CallerStream& aStream)
{
  std::string versions;
  std::set<std::string> distinct;
  int last = 0;
  for (const StreamAttempt& attempt : aStream.mAttempts) {
    for (const StreamPiece& it : attempt.mPieces) {
      if (it.mId != last + 1 || it.mBody != aStream.mName) {
        AddFault(mReport.mDisordered,
                 attempt.mRequestId,
                 "event " + std::to_string(it.mId) + " of " + it.mBody +
                   " after " + std::to_string(last));
      }
      last = it.mId;
      if (distinct.insert(it.mVersion).second) {
        versions += " " + it.mVersion + " from event " +
                    std::to_string(it.mId) + " in " + attempt.mRequestId +
                    " at host " + std::to_string(attempt.mHost);
      }
    }
  }
  if (distinct.size() > 1) {
    AddFault(mReport.mMixed, aStream.mName, "mixed:" + versions);
  }
}

// Checks a request that a runner has received, whether it has run or not.
void
Reporter::ReadRequest(const RunnerRequest& aRequest)
{
  const bool move = aRequest.mHead.mTarget.rfind("/kv-move", 0) == 0;
  mReport.mCopies +=
    move || aRequest.mHead.Find("X-Kv-Backup") != nullptr ? 1 : 0;
  if (!aRequest.mCopyVersion.empty() &&
      aRequest.mCopyVersion != aRequest.mVersion) {
    AddFault(mReport.mMixedCopies,
             ValueOf(aRequest.mHead, "X-Request-Id"),
             "copy between " + aRequest.mVersion + " and " +
               aRequest.mCopyVersion + ", " + aRequest.mHead.mTarget);
  }
}

void
Reporter::ReadRun(const RunnerRequest& aRun)
{
  const std::string id = ValueOf(aRun.mHead, "X-Request-Id");
  const auto origin = mOrigins.find(id);
  if (origin == mOrigins.end()) {
    AddFault(mReport.mMisattributed, id, "run of an unknown request");
    return;
  }
  const CallerStream& stream = *origin->second.mStream;
  const StreamAttempt& attempt = *origin->second.mAttempt;
  const std::string after = ValueOf(aRun.mHead, "Last-Event-Id");
  if (std::atoi(after.c_str()) < attempt.mAfterEvent ||
      aRun.mBody != stream.mName) {
    AddFault(mReport.mMisattributed, id, "run after event " + after);
  }
  if (ValueOf(aRun.mHead, "X-Tenant") != "w" ||
      aRun.mHead.Find("Authorization") != nullptr) {
    AddFault(mReport.mMisattributed, id, "run with another workspace or a key");
  }
  const std::string left = ValueOf(aRun.mHead, "X-Deadline-Ms");
  const std::chrono::milliseconds time(std::atoi(left.c_str()));
  const Time latest = attempt.mDeadline + kDeadlineSlack;
  if (left.empty() || aRun.mArrivedFrom + time > latest) {
    AddFault(mReport.mOverlong, id, "run with " + left + " ms left");
  } else if (aRun.mAt + time > latest) {
    const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(
      aRun.mAt - aRun.mArrivedFrom);
    mReport.mReadLate += id + ": run with " + left + " ms left, read up to " +
                         std::to_string(late.count()) +
                         " ms after it arrived\n";
  }
  mReport.mCopyUses += aRun.mHead.Find("Kv-From") != nullptr ? 1 : 0;
  const std::string version = stream.Version();
  if (!after.empty() && !version.empty() && version != aRun.mVersion) {
    AddFault(mReport.mMixedRuns,
             id,
             "stream of " + version + " runs after event " + after + " at " +
               aRun.mRunner + " of " + aRun.mVersion);
  }
}

} // namespace

std::string
CallerStream::Version() const
{
  for (const StreamAttempt& it : mAttempts) {
    if (!it.mPieces.empty()) {
      return it.mPieces.front().mVersion;
    }
  }
  return std::string();
}

int
CallerStream::LastEvent() const
{
  int last = 0;
  for (const StreamAttempt& it : mAttempts) {
    last = it.mPieces.empty() ? last : it.mPieces.back().mId;
  }
  return last;
}

std::string
CallerStream::FirstRequestId() const
{
  for (const StreamAttempt& it : mAttempts) {
    if (!it.mPieces.empty()) {
      return it.mRequestId;
    }
  }
  return std::string();
}

std::string
CallerStream::Describe(Time aStart) const
{
  const auto since = [aStart](Time aAt) {
    return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(aAt - aStart)
        .count());
  };
  std::string text = mName + " " + Version() + ":";
  for (const StreamAttempt& it : mAttempts) {
    text += " [host " + std::to_string(it.mHost) +
            (it.mHostSound ? "" : " in trouble") + " " + since(it.mSentAt) +
            ".." + since(it.mEndedAt) + " ms, status " +
            std::to_string(it.mAnswer.mHead.mStatus) +
            (it.mAnswer.mComplete ? "" : " cut") + ", " +
            std::to_string(it.mPieces.size()) + " events after " +
            std::to_string(it.mAfterEvent) + "]";
  }
  return text;
}

std::vector<StreamPiece>
ParsePieces(const std::string& aBody)
{
  std::vector<StreamPiece> pieces;
  std::size_t from = 0;
  for (auto end = aBody.find("\n\n"); end != std::string::npos;
       end = aBody.find("\n\n", from)) {
    std::istringstream text(aBody.substr(from, end - from));
    StreamPiece piece;
    std::string word;
    text >> word >> piece.mId >> word >> word >> piece.mVersion >> piece.mBody;
    pieces.push_back(piece);
    from = end + 2;
  }
  return pieces;
}

StreamReport
MakeReport(const std::vector<CallerStream>& aStreams,
           const std::vector<RunnerRequest>& aRequests,
           const std::vector<RunnerRequest>& aRuns)
{
  Reporter reporter;
  for (const CallerStream& it : aStreams) {
    reporter.ReadStream(it);
  }
  for (const RunnerRequest& it : aRequests) {
    reporter.ReadRequest(it);
  }
  for (const RunnerRequest& it : aRuns) {
    reporter.ReadRun(it);
  }
  return reporter.mReport;
}
