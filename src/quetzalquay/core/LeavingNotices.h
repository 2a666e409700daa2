#ifndef QUETZALQUAY_CORE_LEAVINGNOTICES_H_INCLUDED
#define QUETZALQUAY_CORE_LEAVINGNOTICES_H_INCLUDED

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace quetzalquay {

// Targets that have said in an answer that they leave. What they said holds for
// one start of the target, whatever its entry in the store says, and also while
// it has none. Not thread-safe.
class LeavingNotices
{
public:
  // Number of targets above which the oldest notices are forgotten.
  static constexpr std::size_t kMaxCount = 4000;

  // Records that a start of a target leaves. An empty incarnation stands for
  // the one with which the target is declared next. Returns whether this was
  // not known.
  bool Add(const std::string& aTarget, const std::string& aIncarnation);

  // Records with which incarnation a target is declared, which ends the notice
  // of another start.
  void OnDeclared(const std::string& aTarget, const std::string& aIncarnation);

  // Whether a start of a target has said that it leaves. While the incarnation
  // is unknown on either side, it may be the same start.
  bool Has(const std::string& aTarget, const std::string& aIncarnation) const;

  std::size_t Count() const { return mNotices.size(); }

private:
  struct Notice
  {
    std::string mIncarnation;
    // Position in the order in which the notices came.
    std::uint64_t mNumber = 0;
  };

  std::map<std::string, Notice> mNotices;
  std::uint64_t mNextNumber = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_LEAVINGNOTICES_H_INCLUDED
