#include "Mutator.h"

#include <array>
#include <cctype>
#include <cppunit/TestAssert.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string_view>

// Runs a function before a sanitizer ends the process. Missing in a build
// without sanitizers.
extern "C" void
__sanitizer_set_death_callback(void (*aCallback)()) __attribute__((weak));

// Lets a report of undefined behaviour end the process with a signal.
extern "C" const char*
__ubsan_default_options()
{
  return "abort_on_error=1:print_stacktrace=1";
}

namespace {

constexpr int kMutationsPerSeed = 10000;

constexpr std::size_t kMaxMutations = 4;

// One in this many records is nested or lengthened much.
constexpr std::size_t kLargeOneIn = 200;

// Deep enough to overflow the stack of a parser that recurses.
constexpr std::size_t kMaxDepth = 100000;
constexpr std::size_t kMaxSmallDepth = 8;
constexpr std::size_t kMaxLongBytes = 200000;
constexpr std::size_t kMaxSmallBytes = 600;
constexpr std::size_t kMaxRepeats = 5;

constexpr std::size_t kMaxPrintedBytes = 4000;

constexpr std::array<const char*, 24> kExtremeNumbers = {
  "0",
  "-0",
  "-1",
  "1",
  "65536",
  "2147483647",
  "2147483648",
  "-2147483648",
  "-2147483649",
  "4294967296",
  "9223372036854775807",
  "9223372036854775808",
  "-9223372036854775808",
  "-9223372036854775809",
  "18446744073709551615",
  "18446744073709551616",
  "1e308",
  "-1e308",
  "1e-308",
  "0.5",
  "1e9",
  "ffffffffffffffff",
  "000000000000000000000000000000001",
  "99999999999999999999999999999999999999999999999999",
};

constexpr std::array<std::string_view, 24> kTokens = {
  "\r\n",
  "\n",
  "\r",
  "\r\n\r\n",
  "\n\n",
  " ",
  "\t",
  ":",
  ",",
  std::string_view("\0", 1),
  "\x7f",
  "\xff\xfe",
  "null",
  "true",
  "{}",
  "[]",
  "\"\"",
  "\"\\u0000\"",
  "\"\\ud800\"",
  "Content-Length: 5\r\n",
  "Transfer-Encoding: chunked\r\n",
  "Connection: close\r\n",
  "0\r\n\r\n",
  "id: 7\n",
};

// What is being checked, for the report.
std::string gReader;
unsigned gSeed = 0;
int gNumber = 0;
std::string gRecord;

std::string
Printable(const std::string& aText)
{
  std::string text;
  for (const char it : aText.substr(0, kMaxPrintedBytes)) {
    const auto byte = static_cast<unsigned char>(it);
    if (std::isprint(byte) != 0 && it != '\\') {
      text.push_back(it);
    } else {
      char code[8];
      std::snprintf(code, sizeof code, "\\x%02x", byte);
      text += code;
    }
  }
  if (aText.size() > kMaxPrintedBytes) {
    text += "... of " + std::to_string(aText.size()) + " bytes";
  }
  return text;
}

std::string
Position()
{
  return gReader + ", seed " + std::to_string(gSeed) + ", record " +
         std::to_string(gNumber) + ": " + Printable(gRecord);
}

void
PrintPosition()
{
  std::fprintf(stderr, "%s\n", Position().c_str());
}

// The signal ends the process after this.
void
OnAbort(int)
{
  PrintPosition();
}

int
FromEnvironment(const char* aName, int aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::atoi(text);
}

} // namespace

Mutator::Mutator(std::vector<std::string> aCorpus, unsigned aSeed)
  : mCorpus(std::move(aCorpus))
  , mRandom(aSeed)
{
}

std::string
Mutator::Next()
{
  std::string text = mCorpus[Below(mCorpus.size())];
  for (std::size_t n = 1 + Below(kMaxMutations); n > 0; --n) {
    text = Mutated(text);
  }
  return text;
}

std::size_t
Mutator::Below(std::size_t aBound)
{
  // Distributions of the standard library differ between implementations.
  return mRandom() % aBound;
}

std::string
Mutator::Mutated(const std::string& aText)
{
  switch (Below(8)) {
    case 0:
      return Cut(aText);
    case 1:
      return Repeated(aText);
    case 2:
      return Flipped(aText);
    case 3:
      return Spliced(aText);
    case 4:
      return Nested(aText);
    case 5:
      return WithToken(aText);
    case 6:
      return Lengthened(aText);
    default:
      return WithExtremeNumber(aText);
  }
}

std::string
Mutator::Cut(std::string aText)
{
  const std::size_t from = Below(aText.size() + 1);
  const bool toEnd = Below(2) == 0;
  return aText.erase(from, toEnd ? std::string::npos : 1 + Below(8));
}

std::string
Mutator::Repeated(std::string aText)
{
  const std::size_t from = Below(aText.size() + 1);
  const std::string part =
    aText.substr(from, 1 + Below(kMaxSmallBytes / kMaxRepeats));
  for (std::size_t n = 1 + Below(kMaxRepeats); n > 0; --n) {
    aText.insert(from, part);
  }
  return aText;
}

std::string
Mutator::Flipped(std::string aText)
{
  for (std::size_t n = 1 + Below(3); n > 0 && !aText.empty(); --n) {
    char& byte = aText[Below(aText.size())];
    const bool one = Below(2) == 0;
    byte = static_cast<char>(one ? byte ^ (1 << Below(8)) : Below(256));
  }
  return aText;
}

std::string
Mutator::Spliced(const std::string& aText)
{
  const std::string& other = mCorpus[Below(mCorpus.size())];
  return aText.substr(0, Below(aText.size() + 1)) +
         other.substr(Below(other.size() + 1));
}

std::string
Mutator::Nested(std::string aText)
{
  const std::size_t depth =
    1 + Below(Below(kLargeOneIn) == 0 ? kMaxDepth : kMaxSmallDepth);
  const bool list = Below(2) == 0;
  const bool closed = Below(2) == 0;
  std::string nested;
  for (std::size_t n = 0; n < depth; ++n) {
    nested += list ? "[" : R"({"a":)";
  }
  if (closed) {
    nested += list ? "" : "1";
    nested.append(depth, list ? ']' : '}');
  }
  return aText.insert(Below(aText.size() + 1), nested);
}

std::string
Mutator::WithToken(std::string aText)
{
  return aText.insert(Below(aText.size() + 1), kTokens[Below(kTokens.size())]);
}

std::string
Mutator::Lengthened(std::string aText)
{
  const std::size_t bytes =
    1 + Below(Below(kLargeOneIn) == 0 ? kMaxLongBytes : kMaxSmallBytes);
  const std::size_t at = Below(aText.size() + 1);
  const char byte =
    aText.empty() ? 'a' : aText[at == aText.size() ? at - 1 : at];
  return aText.insert(at, bytes, byte);
}

std::string
Mutator::WithExtremeNumber(std::string aText)
{
  constexpr char kDigits[] = "0123456789";
  const std::string extreme = kExtremeNumbers[Below(kExtremeNumbers.size())];
  auto from = aText.find_first_of(kDigits, Below(aText.size() + 1));
  if (from == std::string::npos) {
    from = aText.find_first_of(kDigits);
  }
  if (from == std::string::npos) {
    return aText.insert(Below(aText.size() + 1), extreme);
  }
  while (from > 0 &&
         std::isdigit(static_cast<unsigned char>(aText[from - 1]))) {
    --from;
  }
  const auto end = aText.find_first_not_of(kDigits, from);
  return aText.replace(
    from, end == std::string::npos ? end : end - from, extreme);
}

void
CheckMutations(const std::string& aReader,
               const std::vector<std::string>& aCorpus,
               const FuzzCheck& aCheck)
{
  if (__sanitizer_set_death_callback != nullptr) {
    __sanitizer_set_death_callback(PrintPosition);
  }
  std::signal(SIGABRT, OnAbort);
  const int first = FromEnvironment("QUETZAL_TEST_SEED", 1);
  const int count = FromEnvironment("QUETZAL_TEST_SEEDS", 1);
  gReader = aReader;
  for (int seed = first; seed < first + count; ++seed) {
    gSeed = static_cast<unsigned>(seed);
    Mutator mutator(aCorpus, gSeed);
    // The valid records come first.
    for (gNumber = 0; gNumber < kMutationsPerSeed; ++gNumber) {
      const auto number = static_cast<std::size_t>(gNumber);
      gRecord = number < aCorpus.size() ? aCorpus[number] : mutator.Next();
      const std::string problem = aCheck(gRecord, mutator);
      CPPUNIT_ASSERT_MESSAGE(problem + "; " + Position(), problem.empty());
    }
  }
}
