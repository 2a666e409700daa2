#ifndef QUETZALQUAY_CORE_NAMETABLE_H_INCLUDED
#define QUETZALQUAY_CORE_NAMETABLE_H_INCLUDED

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace quetzalquay {

// Maps between the values and names of an enumeration whose values are
// contiguous and start at zero.
template<typename Enum, std::size_t N>
class NameTable
{
public:
  // Takes one name for each value, in the order of the values.
  constexpr explicit NameTable(std::array<std::string_view, N> aNames)
    : mNames(aNames)
  {
  }

  constexpr std::string_view NameOf(Enum aValue) const
  {
    return mNames[static_cast<std::size_t>(aValue)];
  }

  // Returns the value with the given name, or nothing if there is none.
  constexpr std::optional<Enum> ValueOf(std::string_view aName) const
  {
    for (std::size_t n = 0; n < N; ++n) {
      if (mNames[n] == aName) {
        return static_cast<Enum>(n);
      }
    }
    return std::nullopt;
  }

private:
  std::array<std::string_view, N> mNames;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_NAMETABLE_H_INCLUDED
