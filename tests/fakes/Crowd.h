#ifndef QUETZALQUAY_TESTS_FAKES_CROWD_H_INCLUDED
#define QUETZALQUAY_TESTS_FAKES_CROWD_H_INCLUDED

#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

// Fields of a request with the key of the tests.
extern const std::string kKeyField;

// Time that an ordinary caller waits for its response.
constexpr std::chrono::milliseconds kAnswerTime{ 8000 };

// Connects a blocking socket; -1 on failure. A positive aReceiveBytes limits
// what it holds of unread bytes.
int
ConnectTo(const std::string& aIp, int aPort, int aReceiveBytes = 0);

// Sends bytes for as long as the peer takes some within aPatience. Returns
// whether all were sent.
bool
SendSome(int aSocket,
         const std::string& aBytes,
         std::chrono::milliseconds aPatience);

// A chunk of a chunked body.
std::string
Chunk(std::size_t aBytes);

// A request whose chunked body has aBytes in chunks of aChunkBytes and no end.
std::string
UnfinishedRequest(const std::string& aTarget,
                  const std::string& aFields,
                  std::size_t aBytes,
                  std::size_t aChunkBytes);

// A whole request with a chunked body.
std::string
ChunkedRequest(const std::string& aTarget,
               const std::string& aFields,
               std::size_t aBytes);

// What the connections of a crowd send.
struct CrowdPlan
{
  int mCount = 0;
  // Sent once on each connection.
  std::string mFirst;
  // Sent on each connection at each interval, unless it is empty.
  std::string mDrip{};
  std::chrono::milliseconds mInterval{ 100 };
  // Limits what each connection holds of unread bytes, unless it is 0.
  int mReceiveBytes = 0;
  // Whether each connection reads a byte at each interval.
  bool mReads = false;
  // Whether connections that the server has closed are opened again, at the
  // next interval.
  bool mReopens = false;
  // Whether all connections are replaced by new ones at each interval.
  bool mRenews = false;
  // Time for which they do so before the constructor returns.
  std::chrono::milliseconds mLeadTime{ 0 };
};

// Connections that stay open until the object is destroyed.
class Crowd
{
public:
  Crowd(std::string aIp, int aPort, CrowdPlan aPlan);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Resets all connections.
  void Reset();

private:
  int Open();
  void Play();
  void PlayOnce();

  std::string mIp;
  int mPort;
  CrowdPlan mPlan;
  std::vector<int> mSockets;
  std::atomic<bool> mEnding{ false };
  std::thread mThread;
};

// Reads one response and returns its status; 0 without one.
int
ReadStatus(int aSocket);

// Sends a request and returns the status of the response; 0 without one.
int
StatusOf(const std::string& aIp, int aPort, const std::string& aRequest);

// Sends an ordinary request as a caller that tries again when it is rejected or
// gets no response. Returns the statuses, up to the first 200.
std::string
Statuses(const std::string& aIp, int aPort, const std::string& aRequest);

// Fails the test unless the last status is 200.
void
RequireServed(const std::string& aStatuses);

// Open descriptors of a process; 0 if it has ended.
std::size_t
DescriptorsOf(pid_t aProcess);

#endif // QUETZALQUAY_TESTS_FAKES_CROWD_H_INCLUDED
