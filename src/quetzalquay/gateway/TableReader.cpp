#include "gateway/TableReader.h"

#include <utility>

namespace quetzalquay {

TableReader::TableReader(EventLoop& aLoop,
                         const Endpoint& aStore,
                         ReplyBuffers& aReplies,
                         platform::StoreTable aTable)
  : mTable(aTable)
  , mHttpClient(aLoop, aStore, aReplies, ReplyKind::Rows)
{
}

void
TableReader::Read(Time aDeadline, Callback aCallback)
{
  mDeadline = aDeadline;
  mCallback = std::move(aCallback);
  mRows.clear();
  ReadPage(std::string());
}

void
TableReader::ReadPage(const std::string& aFrom)
{
  mHttpClient.Call(
    platform::EncodeRead(mHttpClient.ServerName(), mTable, aFrom),
    mDeadline,
    [this](const auto& aReply, const auto& aReason) {
      OnPage(aReply, aReason);
    });
}

void
TableReader::OnPage(const std::optional<HttpReply>& aReply,
                    const std::string& aReason)
{
  if (!aReply || aReply->mHead.mStatus != 200) {
    Finish(std::nullopt,
           aReply ? "status " + std::to_string(aReply->mHead.mStatus)
                  : aReason);
    return;
  }
  std::string reason;
  const auto rows = platform::DecodeRows(aReply->mBody, reason);
  if (!rows) {
    Finish(std::nullopt, reason);
    return;
  }
  mRows.insert(mRows.end(), rows->mRows.begin(), rows->mRows.end());
  if (rows->mHasMore && !rows->mRows.empty()) {
    // Continue at the smallest key that follows the last one.
    ReadPage(mRows.back().mKey + '\x01');
    return;
  }
  Finish(std::exchange(mRows, {}), std::string());
}

void
TableReader::Finish(const std::optional<std::vector<platform::StoreRow>>& aRows,
                    const std::string& aReason)
{
  const Callback callback = std::exchange(mCallback, nullptr);
  callback(aRows, aReason);
}

} // namespace quetzalquay
