#include "core/EventNumbering.h"

namespace quetzalquay {

namespace {

// Whole streams in a row that have to begin alike.
constexpr int kMinAgreeing = 3;

// Streams in a row that begin otherwise until the numbering is forgotten.
constexpr int kMaxOthers = 4;

} // namespace

void
EventNumbering::OnWhole(const Start& aStart)
{
  const bool agrees =
    aStart.mFirst == mStart.mFirst && aStart.mStep == mStart.mStep;
  mAgreeing = agrees ? mAgreeing + 1 : 1;
  mStart = aStart;
  mOthers = 0;
}

void
EventNumbering::OnOther()
{
  if (++mOthers >= kMaxOthers) {
    mAgreeing = 0;
    mOthers = 0;
  }
}

std::optional<EventNumbering::Start>
EventNumbering::Expected() const
{
  return mAgreeing >= kMinAgreeing ? std::make_optional(mStart) : std::nullopt;
}

} // namespace quetzalquay
