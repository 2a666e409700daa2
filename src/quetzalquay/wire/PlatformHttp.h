#ifndef QUETZALQUAY_WIRE_PLATFORMHTTP_H_INCLUDED
#define QUETZALQUAY_WIRE_PLATFORMHTTP_H_INCLUDED

#include "ports/PlatformPorts.h"
#include "wire/HttpClient.h"

#include <string>

namespace quetzalquay {

// The platform's table service, object store and host list over HTTP.
class PlatformHttp
  : public TableStorePort
  , public ObjectStorePort
  , public HostListPort
{
public:
  // aProcessName identifies this process to the platform.
  PlatformHttp(HttpAddress aAddress, std::string aProcessName);

  CommitResult Commit(const StoreTransaction& aTransaction,
                      Duration aTimeout) override;
  StoreOutcome Read(const std::string& aTable,
                    const std::string& aKey,
                    Duration aTimeout,
                    StoredRow& aRow) override;
  StoreOutcome ReadAll(const std::string& aTable,
                       Duration aTimeout,
                       std::vector<StoredRow>& aRows,
                       unsigned& aRevision) override;
  StoreOutcome Put(const std::string& aName,
                   const std::string& aBytes,
                   Duration aTimeout) override;
  StoreOutcome Get(const std::string& aName,
                   Duration aTimeout,
                   std::string& aBytes) override;
  StoreOutcome Delete(const std::string& aName, Duration aTimeout) override;
  std::optional<std::vector<HostState>> ReadHosts(Duration aTimeout) override;

private:
  HttpResult Call(HttpCallSpec aSpec, Duration aTimeout);

  HttpAddress mAddress;
  std::string mProcessName;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_WIRE_PLATFORMHTTP_H_INCLUDED
