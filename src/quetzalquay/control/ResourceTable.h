#ifndef QUETZALQUAY_CONTROL_RESOURCETABLE_H_INCLUDED
#define QUETZALQUAY_CONTROL_RESOURCETABLE_H_INCLUDED

#include "generated/settings.pb.h"
#include "ports/PlatformPorts.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

// Table of the declared resources, and key of the row that holds the revision.
constexpr char kConfigurationTable[] = "configuration";
constexpr char kHeadKey[] = "head";

// One declared resource as it is stored.
struct Resource
{
  std::string mKind;
  std::string mName;
  // The resource as JSON; empty when it has been deleted.
  std::string mValue;
  unsigned mVersion = 0;
};

// Kinds of resources, in the plural as in paths: "models", "targets" and so on.
const std::vector<std::string>&
ResourceKinds();

// Whether operators may write this kind.
bool
IsDeclaredKind(const std::string& aKind);

// Key of a resource's row.
std::string
ResourceKey(const std::string& aKind, const std::string& aName);

// Name of a resource of a kind from its JSON, in the form that paths use:
// MODEL@NAME for versions and adapters. Nothing when the JSON does not fit the
// kind, with aReason set.
std::optional<std::string>
ResourceNameOf(const std::string& aKind,
               const std::string& aValue,
               std::string& aReason);

// All rows of the configuration's table at one moment.
class ResourceTable
{
public:
  // Takes the rows as read from the table service.
  static ResourceTable Parse(const std::vector<StoredRow>& aRows);

  // Revision of the line; zero when nothing has been declared.
  unsigned Revision() const { return mRevision; }

  // Version of the head's row, zero when it does not exist.
  unsigned HeadVersion() const { return mHeadVersion; }

  // A resource, deleted ones included, or null.
  const Resource* Find(const std::string& aKind,
                       const std::string& aName) const;

  // All resources of a kind that are not deleted.
  std::vector<const Resource*> List(const std::string& aKind) const;

  // All resources of a kind, deleted ones included, that were written after a
  // version.
  std::vector<const Resource*> ChangedAfter(const std::string& aKind,
                                            unsigned aVersion) const;

  // Puts a resource in place; an empty value deletes it.
  void Put(Resource aResource);

  // The whole as a configuration at a revision, or nothing when a row does not
  // fit its kind, with aReason set.
  std::optional<schema::Configuration> Build(unsigned aRevision,
                                             std::string& aReason) const;

private:
  std::map<std::string, Resource> mResources;
  unsigned mRevision = 0;
  unsigned mHeadVersion = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CONTROL_RESOURCETABLE_H_INCLUDED
