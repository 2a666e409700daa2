#ifndef QUETZALQUAY_CORE_EVENTNUMBERING_H_INCLUDED
#define QUETZALQUAY_CORE_EVENTNUMBERING_H_INCLUDED

#include <optional>

namespace quetzalquay {

// How the targets of a service number the events of a stream: the ID of the
// first event and the distance between two. Learned from whole streams, so that
// the first IDs of a later stream can be checked, too.
class EventNumbering
{
public:
  // IDs of the first event and of the one after it.
  struct Start
  {
    long long mFirst = 0;
    long long mStep = 0;
  };

  // Records how a stream that was whole began.
  void OnWhole(const Start& aStart);

  // Records a stream that began otherwise than expected. Several in a row show
  // that the numbering has changed.
  void OnOther();

  // How streams begin; nothing until whole ones in a row have begun alike.
  std::optional<Start> Expected() const;

private:
  Start mStart;
  int mAgreeing = 0;
  int mOthers = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_EVENTNUMBERING_H_INCLUDED
