#ifndef QUETZALQUAY_CORE_READERCHOICE_H_INCLUDED
#define QUETZALQUAY_CORE_READERCHOICE_H_INCLUDED

#include "core/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

// A host that may read the store for others.
struct ReaderCandidate
{
  std::string mName;
  // Bandwidth of its link in Mbit/s, 0 when it is not known.
  int mLinkMbps = 0;
};

// Which hosts read the store themselves, and whom the others ask.
//
// All hosts would read the same rows, and each call is paid for. So a few of
// them read, the same ones in the eyes of all; each other host asks one of
// these, and reads the store itself whenever what it knows grows too old. A
// reader that fails is replaced by the next host in the order, which begins
// with the widest links. Pure logic; not safe for concurrent use.
class ReaderChoice
{
public:
  explicit ReaderChoice(ReaderCandidate aOwn);

  // The hosts that are known, with or without this one.
  void SetHosts(std::vector<ReaderCandidate> aHosts);

  // Whether this host reads the store regularly.
  bool IsReader(Time aNow) const;

  // Host to ask; nothing when this one is a reader.
  std::optional<std::string> HostToAsk(Time aNow) const;

  // A host that was asked has told what the store held at a moment, or has not
  // answered, or does not know the store's state itself.
  void OnTold(const std::string& aHost, Time aAsOf);
  void OnFailed(const std::string& aHost, Time aNow);

  // This host has read the store as of a moment.
  void OnRead(Time aAsOf);

  // Moment up to which all changes in the store are known.
  Time KnownAsOf() const { return mKnownAsOf; }

  // Whether this host has to read the store now.
  bool MustRead(Time aNow) const;

private:
  // Readers among the hosts that have not failed lately, in the order.
  std::vector<std::string> Readers(Time aNow) const;

  struct Failure
  {
    int mCount = 0;
    Time mUntil;
  };

  ReaderCandidate mOwn;
  // All hosts, in the order in which they become readers.
  std::vector<std::string> mOrder;
  std::map<std::string, Failure> mFailures;
  Time mKnownAsOf;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_READERCHOICE_H_INCLUDED
