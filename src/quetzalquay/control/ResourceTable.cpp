#include "control/ResourceTable.h"

#include "generated/messages.pb.h"
#include "wire/Json.h"

#include <algorithm>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <memory>
#include <utility>

namespace quetzalquay {

namespace {

// Kind that only controllers write.
constexpr char kControllerOwnedKind[] = "rollouts";

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

const FieldDescriptor*
FindKindField(const std::string& aKind)
{
  const auto* field =
    schema::Configuration::descriptor()->FindFieldByName(aKind);
  return field != nullptr && field->is_repeated() ? field : nullptr;
}

std::string
GetStringField(const Message& aMessage, const char* aName)
{
  const auto* field = aMessage.GetDescriptor()->FindFieldByName(aName);
  return field == nullptr
           ? std::string()
           : aMessage.GetReflection()->GetString(aMessage, field);
}

// Names of versions and adapters are unique only within their model.
bool
IsNamedWithinModel(const std::string& aKind)
{
  return aKind == "versions" || aKind == "adapters";
}

std::string
NameOfMessage(const std::string& aKind, const Message& aMessage)
{
  if (aKind == kControllerOwnedKind) {
    return GetStringField(aMessage, "model");
  }
  const std::string name = GetStringField(aMessage, "name");
  return IsNamedWithinModel(aKind)
           ? GetStringField(aMessage, "model") + "@" + name
           : name;
}

std::unique_ptr<Message>
ParseResource(const std::string& aKind,
              const std::string& aValue,
              std::string& aReason)
{
  const FieldDescriptor* field = FindKindField(aKind);
  if (field == nullptr) {
    aReason = "kind: \"" + aKind + "\" is unknown";
    return nullptr;
  }
  const Message* prototype =
    google::protobuf::MessageFactory::generated_factory()->GetPrototype(
      field->message_type());
  std::unique_ptr<Message> message(prototype->New());
  if (const auto problem = ParseJson(aValue, UnknownFields::Refuse, *message)) {
    aReason = *problem;
    return nullptr;
  }
  return message;
}

} // namespace

const std::vector<std::string>&
ResourceKinds()
{
  static const std::vector<std::string> kKinds = [] {
    std::vector<std::string> kinds;
    const auto* descriptor = schema::Configuration::descriptor();
    for (int n = 0; n < descriptor->field_count(); ++n) {
      if (descriptor->field(n)->is_repeated()) {
        kinds.push_back(descriptor->field(n)->name());
      }
    }
    return kinds;
  }();
  return kKinds;
}

bool
IsOperatorWritable(const std::string& aKind)
{
  return aKind != kControllerOwnedKind && FindKindField(aKind) != nullptr;
}

std::string
ResourceKey(const std::string& aKind, const std::string& aName)
{
  return aKind + ":" + aName;
}

std::optional<std::string>
ResourceNameOf(const std::string& aKind,
               const std::string& aValue,
               std::string& aReason)
{
  const auto message = ParseResource(aKind, aValue, aReason);
  if (message == nullptr) {
    return std::nullopt;
  }
  return NameOfMessage(aKind, *message);
}

ResourceTable
ResourceTable::Parse(const std::vector<StoredRow>& aRows)
{
  ResourceTable table;
  for (const StoredRow& it : aRows) {
    if (it.mKey == kHeadKey) {
      schema::ConfigurationHead head;
      ParseJson(it.mValue, UnknownFields::Ignore, head);
      table.mRevision = head.revision();
      table.mHeadVersion = it.mVersion;
      continue;
    }
    const std::size_t colon = it.mKey.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    Resource resource;
    resource.mKind = it.mKey.substr(0, colon);
    resource.mName = it.mKey.substr(colon + 1);
    resource.mValue = it.mValue;
    resource.mVersion = it.mVersion;
    table.mResources.emplace(it.mKey, std::move(resource));
  }
  return table;
}

const Resource*
ResourceTable::Find(const std::string& aKind, const std::string& aName) const
{
  const auto it = mResources.find(ResourceKey(aKind, aName));
  return it == mResources.end() ? nullptr : &it->second;
}

std::vector<const Resource*>
ResourceTable::List(const std::string& aKind) const
{
  std::vector<const Resource*> resources;
  for (const auto& it : mResources) {
    if (it.second.mKind == aKind && !it.second.mValue.empty()) {
      resources.push_back(&it.second);
    }
  }
  return resources;
}

std::vector<const Resource*>
ResourceTable::ChangedAfter(const std::string& aKind, unsigned aVersion) const
{
  std::vector<const Resource*> resources;
  for (const auto& it : mResources) {
    if (it.second.mKind == aKind && it.second.mVersion > aVersion) {
      resources.push_back(&it.second);
    }
  }
  return resources;
}

void
ResourceTable::Put(Resource aResource)
{
  const std::string key = ResourceKey(aResource.mKind, aResource.mName);
  mResources[key] = std::move(aResource);
}

std::optional<schema::Configuration>
ResourceTable::Build(unsigned aRevision, std::string& aReason) const
{
  schema::Configuration configuration;
  configuration.set_revision(aRevision);
  const auto* reflection = configuration.GetReflection();
  for (const auto& it : mResources) {
    const Resource& resource = it.second;
    if (resource.mValue.empty()) {
      continue;
    }
    const auto message =
      ParseResource(resource.mKind, resource.mValue, aReason);
    if (message == nullptr) {
      aReason.insert(0, it.first + ": ");
      return std::nullopt;
    }
    reflection->AddMessage(&configuration, FindKindField(resource.mKind))
      ->CopyFrom(*message);
  }
  return configuration;
}

} // namespace quetzalquay
