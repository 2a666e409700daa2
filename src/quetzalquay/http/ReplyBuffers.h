#ifndef QUETZALQUAY_HTTP_REPLYBUFFERS_H_INCLUDED
#define QUETZALQUAY_HTTP_REPLYBUFFERS_H_INCLUDED

#include "http/AnswerBuffers.h"

#include <functional>
#include <string>
#include <utility>

namespace quetzalquay {

// Kinds of questions that a host asks the store and other hosts.
enum class ReplyKind
{
  // A page of rows, or the changes of a table.
  Rows,
  // The tables that another host knows.
  HostTables,
  // The result of a write, which may have the rows that it names.
  Written,
  // Whether another host answers.
  HostCheck,
  Last,
};

// The name of a kind as the log has it, and the largest body of its replies.
const char*
NameOf(ReplyKind aKind);
std::size_t
MaxBodyBytes(ReplyKind aKind);

// Shares memory among the replies of the store and of other hosts while they
// are received.
class ReplyBuffers : public AnswerBuffers
{
public:
  // Receives each reply that is given up as it needs too much memory: its kind,
  // who sent it, and how many bytes of it were received.
  using GivenUpCallback = std::function<
    void(ReplyKind aKind, const std::string& aServer, std::size_t aBytes)>;

  explicit ReplyBuffers(std::size_t aLimit)
    : AnswerBuffers(aLimit)
  {
  }

  void SetGivenUpCallback(GivenUpCallback aCallback)
  {
    mCallback = std::move(aCallback);
  }

  void OnGivenUp(ReplyKind aKind,
                 const std::string& aServer,
                 std::size_t aBytes) const
  {
    if (mCallback) {
      mCallback(aKind, aServer, aBytes);
    }
  }

private:
  GivenUpCallback mCallback;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_HTTP_REPLYBUFFERS_H_INCLUDED
