#ifndef QUETZALQUAY_HTTP_LISTREADER_H_INCLUDED
#define QUETZALQUAY_HTTP_LISTREADER_H_INCLUDED

#include <cstdint>
#include <limits>
#include <optional>
#include <rapidjson/document.h>
#include <string>

namespace quetzalquay {

// Reads the elements of a JSON list that another process has written, in their
// order. Elements that are not asked for are ignored, since later builds may
// add some at the end. A list is not valid if an element without a default is
// missing, or if one is of another type or out of its range.
class ListReader
{
public:
  explicit ListReader(const rapidjson::Value& aList)
    : mList(aList)
    , mValid(aList.IsArray())
  {
  }

  // Whether all elements that were asked for could be read.
  bool IsValid() const { return mValid; }

  std::string Text()
  {
    const rapidjson::Value* value = Next();
    if (!Check(value != nullptr && value->IsString())) {
      return {};
    }
    return std::string(value->GetString(), value->GetStringLength());
  }

  std::uint64_t Id()
  {
    const rapidjson::Value* value = Next();
    return Check(value != nullptr && value->IsUint64()) ? value->GetUint64()
                                                        : 0;
  }

  std::int64_t Integer(std::int64_t aMin,
                       std::int64_t aMax,
                       std::optional<std::int64_t> aDefault = std::nullopt)
  {
    const rapidjson::Value* value = Next();
    if (value == nullptr && mValid && aDefault) {
      return *aDefault;
    }
    const bool valid = value != nullptr && value->IsInt64() &&
                       value->GetInt64() >= aMin && value->GetInt64() <= aMax;
    return Check(valid) ? value->GetInt64() : aMin;
  }

  // A number that is not negative.
  int Count(int aMax = std::numeric_limits<int>::max())
  {
    return static_cast<int>(Integer(0, aMax));
  }

  double Number(double aMin, double aMax)
  {
    const rapidjson::Value* value = Next();
    const bool valid = value != nullptr && value->IsNumber() &&
                       value->GetDouble() >= aMin && value->GetDouble() <= aMax;
    return Check(valid) ? value->GetDouble() : aMin;
  }

  // A list; nullptr if it is not one.
  const rapidjson::Value* List()
  {
    const rapidjson::Value* value = Next();
    return Check(value != nullptr && value->IsArray()) ? value : nullptr;
  }

private:
  // Nothing after the end of the list.
  const rapidjson::Value* Next()
  {
    return mList.IsArray() && mNext < mList.Size() ? &mList[mNext++] : nullptr;
  }

  bool Check(bool aValid)
  {
    mValid = mValid && aValid;
    return aValid;
  }

  const rapidjson::Value& mList;
  rapidjson::SizeType mNext = 0;
  bool mValid;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_HTTP_LISTREADER_H_INCLUDED
