#ifndef QUETZALQUAY_TESTS_FUZZ_MUTATOR_H_INCLUDED
#define QUETZALQUAY_TESTS_FUZZ_MUTATOR_H_INCLUDED

#include <cstddef>
#include <functional>
#include <random>
#include <string>
#include <vector>

// Makes invalid and unusual records of valid ones. A seed determines all that
// it returns.
class Mutator
{
public:
  Mutator(std::vector<std::string> aCorpus, unsigned aSeed);

  // A record with one to a few mutations: cut, repeated or flipped bytes, the
  // end of another record, nested values, extreme numbers and long texts.
  std::string Next();

  // Any number below aBound, which must not be 0.
  std::size_t Below(std::size_t aBound);

private:
  std::string Mutated(const std::string& aText);
  std::string Cut(std::string aText);
  std::string Repeated(std::string aText);
  std::string Flipped(std::string aText);
  std::string Spliced(const std::string& aText);
  std::string Nested(std::string aText);
  std::string WithExtremeNumber(std::string aText);
  std::string WithToken(std::string aText);
  std::string Lengthened(std::string aText);

  const std::vector<std::string> mCorpus;
  std::mt19937 mRandom;
};

// Checks mutations of the records of a corpus: aCheck gets each one and a
// source of further numbers, and returns what is wrong, or an empty text.
// QUETZAL_TEST_SEEDS (1) seeds from QUETZAL_TEST_SEED (1) on are played. A
// failure, or a report of a sanitizer, comes with the seed and the record.
using FuzzCheck = std::function<std::string(const std::string&, Mutator&)>;

void
CheckMutations(const std::string& aReader,
               const std::vector<std::string>& aCorpus,
               const FuzzCheck& aCheck);

#endif // QUETZALQUAY_TESTS_FUZZ_MUTATOR_H_INCLUDED
