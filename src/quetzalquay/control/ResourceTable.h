#ifndef QUETZALQUAY_CONTROL_RESOURCETABLE_H_INCLUDED
#define QUETZALQUAY_CONTROL_RESOURCETABLE_H_INCLUDED

#include "generated/settings.pb.h"
#include "ports/PlatformPorts.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

// Table of the declared resources, and key of its head row, which holds the
// configuration's revision.
constexpr char kConfigurationTable[] = "configuration";
constexpr char kHeadKey[] = "head";

// One declared resource as it is stored.
struct Resource
{
  std::string mKind;
  std::string mName;
  // The resource as JSON; empty when it has been deleted.
  std::string mValue;
  // Version of the resource's row.
  unsigned mVersion = 0;
};

// Kinds of resources, in the plural as in API paths: "models", "targets" and so
// on.
const std::vector<std::string>&
ResourceKinds();

// Whether the kind exists and operators may write it.
bool
IsOperatorWritable(const std::string& aKind);

// Key of a resource's row.
std::string
ResourceKey(const std::string& aKind, const std::string& aName);

// Reads a resource's name from its JSON, in the form that API paths use:
// MODEL@NAME for versions and adapters. Returns nothing and sets aReason when
// the kind is unknown or the JSON does not match its schema.
std::optional<std::string>
ResourceNameOf(const std::string& aKind,
               const std::string& aValue,
               std::string& aReason);

// Point-in-time copy of all rows of the configuration table.
class ResourceTable
{
public:
  // Parses rows as read from the table service; ignores malformed keys.
  static ResourceTable Parse(const std::vector<StoredRow>& aRows);

  // Revision of the configuration; zero when nothing has been declared.
  unsigned Revision() const { return mRevision; }

  // Version of the head row; zero when it does not exist.
  unsigned HeadVersion() const { return mHeadVersion; }

  // Finds a resource, deleted ones included. Null when there is none.
  const Resource* Find(const std::string& aKind,
                       const std::string& aName) const;

  // All resources of a kind that are not deleted.
  std::vector<const Resource*> List(const std::string& aKind) const;

  // All resources of a kind, deleted ones included, that were written after a
  // version.
  std::vector<const Resource*> ChangedAfter(const std::string& aKind,
                                            unsigned aVersion) const;

  // Adds or replaces a resource; an empty value marks it as deleted.
  void Put(Resource aResource);

  // Builds the configuration message with the given revision. Returns nothing
  // and sets aReason when a row does not match the schema of its kind.
  std::optional<schema::Configuration> Build(unsigned aRevision,
                                             std::string& aReason) const;

private:
  std::map<std::string, Resource> mResources;
  unsigned mRevision = 0;
  unsigned mHeadVersion = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CONTROL_RESOURCETABLE_H_INCLUDED
