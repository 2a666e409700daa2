#ifndef QUETZALQUAY_GATEWAY_TABLEREADER_H_INCLUDED
#define QUETZALQUAY_GATEWAY_TABLEREADER_H_INCLUDED

#include "http/AsyncHttpClient.h"
#include "platform/PlatformStore.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

// Reads a complete table of the store once, page by page.
class TableReader
{
public:
  // Receives the rows, or nothing and the reason of the failure.
  using Callback =
    std::function<void(const std::optional<std::vector<platform::StoreRow>>&,
                       const std::string&)>;

  TableReader(EventLoop& aLoop,
              const Endpoint& aStore,
              ReplyBuffers& aReplies,
              platform::StoreTable aTable);

  // Starts to read. Must not be called while a read is in progress. aCallback
  // is called once, no later than aDeadline.
  void Read(Time aDeadline, Callback aCallback);

  // Reads another store from now on. A read in progress fails.
  void SetStore(const Endpoint& aStore) { mHttpClient.SetServer(aStore); }

  bool IsBusy() const { return mCallback != nullptr; }

private:
  void ReadPage(const std::string& aFrom);
  void OnPage(const std::optional<HttpReply>& aReply,
              const std::string& aReason);
  void Finish(const std::optional<std::vector<platform::StoreRow>>& aRows,
              const std::string& aReason);

  platform::StoreTable mTable;
  AsyncHttpClient mHttpClient;
  Time mDeadline;
  Callback mCallback;
  std::vector<platform::StoreRow> mRows;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_TABLEREADER_H_INCLUDED
