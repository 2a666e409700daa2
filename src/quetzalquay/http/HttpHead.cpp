#include "http/HttpHead.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace quetzalquay {

namespace {

constexpr std::array<std::string_view, 9> kHopByHopFields = {
  "connection",          "keep-alive", "proxy-connection",
  "proxy-authorization", "te",         "trailer",
  "transfer-encoding",   "upgrade",    "proxy-authenticate",
};

char
ToLower(char aChar)
{
  return static_cast<char>(std::tolower(static_cast<unsigned char>(aChar)));
}

std::string_view
Trim(std::string_view aText)
{
  const auto first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t") - first + 1);
}

bool
ListContains(std::string_view aList, std::string_view aToken)
{
  while (!aList.empty()) {
    const auto comma = aList.find(',');
    if (EqualsIgnoreCase(Trim(aList.substr(0, comma)), aToken)) {
      return true;
    }
    if (comma == std::string_view::npos) {
      break;
    }
    aList.remove_prefix(comma + 1);
  }
  return false;
}

} // namespace

const std::string*
HttpHead::Find(std::string_view aName) const
{
  for (const HttpField& it : mFields) {
    if (EqualsIgnoreCase(it.mName, aName)) {
      return &it.mValue;
    }
  }
  return nullptr;
}

void
UseOriginForm(HttpHead& aHead)
{
  const std::string& target = aHead.mTarget;
  const auto scheme = target.find("://");
  if (scheme == std::string::npos ||
      !(EqualsIgnoreCase(target.substr(0, scheme), "http") ||
        EqualsIgnoreCase(target.substr(0, scheme), "https"))) {
    return;
  }
  const auto from = scheme + 3;
  const auto end = std::min(target.find_first_of("/?", from), target.size());
  const std::string host = target.substr(from, end - from);
  std::string path = target.substr(end);
  if (path.empty() || path[0] != '/') {
    path.insert(0, "/");
  }
  aHead.mTarget = std::move(path);
  for (HttpField& it : aHead.mFields) {
    if (EqualsIgnoreCase(it.mName, "Host")) {
      it.mValue = host;
    }
  }
}

int
HttpHead::Count(std::string_view aName) const
{
  return static_cast<int>(
    std::count_if(mFields.begin(), mFields.end(), [&](const HttpField& aField) {
      return EqualsIgnoreCase(aField.mName, aName);
    }));
}

bool
HttpHead::HasToken(std::string_view aName, std::string_view aToken) const
{
  return std::any_of(
    mFields.begin(), mFields.end(), [&](const HttpField& aField) {
      return EqualsIgnoreCase(aField.mName, aName) &&
             ListContains(aField.mValue, aToken);
    });
}

bool
EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    [](char aLeftChar, char aRightChar) {
                      return ToLower(aLeftChar) == ToLower(aRightChar);
                    });
}

bool
IsHopByHop(const HttpHead& aHead, std::string_view aName)
{
  const bool always = std::any_of(
    kHopByHopFields.begin(),
    kHopByHopFields.end(),
    [&](std::string_view aField) { return EqualsIgnoreCase(aField, aName); });
  return always || aHead.HasToken("Connection", aName);
}

void
AppendField(std::string& aText, std::string_view aName, std::string_view aValue)
{
  aText.append(aName).append(": ").append(aValue).append("\r\n");
}

} // namespace quetzalquay
