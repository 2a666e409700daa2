#ifndef QUETZALQUAY_CORE_READERCHOICE_H_INCLUDED
#define QUETZALQUAY_CORE_READERCHOICE_H_INCLUDED

#include "core/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

// A host that may read the store on behalf of others.
struct ReaderCandidate
{
  std::string mName;
  // Bandwidth of the host's link in Mbit/s, 0 if unknown.
  int mLinkMbps = 0;
};

// What happens while a host does not have the newest rows of a table.
enum class RowUrgency
{
  // The host acts on what is no longer true, so it reads the store itself.
  Vital,
  // The host learns of the rows in other ways, or can do without for a while.
  Background,
};

// Selects the hosts that read the store directly (the readers), and the reader
// that each other host asks.
//
// All hosts need the same rows, and every call to the store is billed, so only
// a few hosts read it. All hosts rank the candidates alike, highest bandwidth
// first, and so agree on the readers without coordination. Every other host
// asks one reader, and reads the store itself when its own data becomes too
// old. A reader that fails is replaced by the host that ranks next.
// Performs no I/O; not thread-safe.
class ReaderChoice
{
public:
  // Age of the known state from which on a host reads the store itself and asks
  // other hosts. Together with the duration of a read it stays below the time
  // within which requests to a leaving target have to stop.
  static constexpr Duration kMaxStaleness = std::chrono::milliseconds(1200);

  explicit ReaderChoice(ReaderCandidate aOwnHost);

  // Sets the known hosts. This host is added when it is not among them.
  void SetHosts(std::vector<ReaderCandidate> aHosts);

  // Whether this host is one of the readers.
  bool IsReader(Time aNow) const;

  // Reader that this host asks; empty when it is a reader itself.
  std::optional<std::string> ReaderToAsk(Time aNow) const;

  // A reader has answered with the store's state as of aAsOf.
  void OnReaderAnswered(const std::string& aHost, Time aAsOf);

  // A reader has not answered, or its own state is too old to be of use. It is
  // skipped for a time that doubles with each consecutive failure.
  void OnReaderFailed(const std::string& aHost, Time aNow);

  // This host has read the store's state as of aAsOf.
  void OnStoreRead(Time aAsOf);

  // Time up to which all changes in the store are known.
  Time KnownAsOf() const { return mKnownAsOf; }

  // Whether what this host knows is too old, so that a target it knows may have
  // left a while ago.
  bool IsStale(Time aNow) const { return aNow - mKnownAsOf >= kMaxStaleness; }

  // Whether this host has to read a table itself now: it is a reader, or what
  // it knows is too old and the table is vital.
  bool MustReadStore(RowUrgency aUrgency, Time aNow) const;

private:
  // Readers in rank order, without the hosts that are skipped after a failure.
  std::vector<std::string> ActiveReaders(Time aNow) const;

  struct FailureState
  {
    int mConsecutiveFailures = 0;
    Time mSkippedUntil;
  };

  ReaderCandidate mOwnHost;
  // Names of all hosts, in the order in which they become readers.
  std::vector<std::string> mHostsByRank;
  std::map<std::string, FailureState> mFailures;
  Time mKnownAsOf;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_READERCHOICE_H_INCLUDED
