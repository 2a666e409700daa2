#ifndef QUETZALQUAY_CORE_REQUESTCONTENT_H_INCLUDED
#define QUETZALQUAY_CORE_REQUESTCONTENT_H_INCLUDED

#include <cstdint>
#include <utility>
#include <vector>

namespace quetzalquay {

// What a request has in common with others, as far as it may crash a target:
// its content, which its caller's retries share, and the parts of its prompt,
// which other requests may share.
struct RequestContent
{
  RequestContent() = default;
  // Not explicit, as most requests have nothing but a content.
  RequestContent(std::uint64_t aHash, std::vector<std::uint64_t> aParts = {})
    : mHash(aHash)
    , mParts(std::move(aParts))
  {
  }

  // Hash of workspace, path and body.
  std::uint64_t mHash = 0;
  // Hashes of the parts of the prompt, in order, without the part that belongs
  // to the request itself.
  std::vector<std::uint64_t> mParts;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_REQUESTCONTENT_H_INCLUDED
