#include "EngineTable.h"
#include "Property.h"

#include "core/ReaderChoice.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <memory>
#include <set>

using namespace quetzalquay;

namespace {

std::vector<std::string>
HostNames(int aCount)
{
  std::vector<std::string> hosts;
  hosts.reserve(static_cast<std::size_t>(aCount));
  for (int n = 0; n < aCount; ++n) {
    hosts.push_back("host-" + std::to_string(n));
  }
  return hosts;
}

std::map<std::string, std::unique_ptr<ReaderChoice>>
MakeChoices(const std::vector<std::string>& aHosts)
{
  std::map<std::string, std::unique_ptr<ReaderChoice>> choices;
  std::vector<ReaderCandidate> candidates;
  candidates.reserve(aHosts.size());
  for (const std::string& it : aHosts) {
    candidates.push_back({ it, 0 });
  }
  for (const std::string& it : aHosts) {
    choices[it] = std::make_unique<ReaderChoice>(ReaderCandidate{ it, 0 });
    choices[it]->SetHosts(candidates);
  }
  return choices;
}

} // namespace

class ReaderChoiceTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ReaderChoiceTests);
  CPPUNIT_TEST(ASingleHostIsAReader);
  CPPUNIT_TEST(AFewHostsReadForAllOthers);
  CPPUNIT_TEST(HostsWithTheMostBandwidthAreReaders);
  CPPUNIT_TEST(AHostReadsWhenItsStateIsTooOld);
  CPPUNIT_TEST(AReaderWithoutAnswersKnowsThatItsStateIsTooOld);
  CPPUNIT_TEST(AStaleHostReadsVitalTablesOnly);
  CPPUNIT_TEST(TheNextReaderIsAskedAtOnce);
  CPPUNIT_TEST(AFailedReaderIsReplaced);
  CPPUNIT_TEST(RunningHostsStayUpToDate);
  CPPUNIT_TEST_SUITE_END();

public:
  void ASingleHostIsAReader()
  {
    ReaderChoice choice({ "a", 0 });
    CPPUNIT_ASSERT(choice.IsReader(At(0)));
    CPPUNIT_ASSERT(!choice.ReaderToAsk(At(0)));
    choice.SetHosts({});
    CPPUNIT_ASSERT(choice.MustReadStore(RowUrgency::Vital, At(0)));
  }

  void AFewHostsReadForAllOthers()
  {
    for (const auto& [count, readers] :
         { std::pair{ 2, 2 }, { 9, 2 }, { 71, 3 }, { 450, 19 } }) {
      const auto choices = MakeChoices(HostNames(count));
      std::map<std::string, int> asked;
      int reading = 0;
      for (const auto& it : choices) {
        const auto host = it.second->ReaderToAsk(At(0));
        if (host) {
          ++asked[*host];
        } else {
          ++reading;
        }
      }
      CPPUNIT_ASSERT_EQUAL(readers, reading);
      for (const auto& it : asked) {
        CPPUNIT_ASSERT(choices.at(it.first)->IsReader(At(0)));
        // At most twice the configured mean of 24 hosts per reader.
        CPPUNIT_ASSERT(it.second <= 48);
      }
    }
  }

  // Guards against hosts with little bandwidth reading the store for others:
  // when thousands of entries change at once, their links become the
  // bottleneck.
  void HostsWithTheMostBandwidthAreReaders()
  {
    std::vector<ReaderCandidate> candidates;
    for (const std::string& it : HostNames(71)) {
      const bool wide = it == "host-5" || it == "host-30" || it == "host-70";
      candidates.push_back({ it, wide ? 200 : 10 });
    }
    ReaderChoice choice({ "host-1", 10 });
    choice.SetHosts(candidates);
    for (const char* it : { "host-5", "host-30", "host-70" }) {
      ReaderChoice wide({ it, 200 });
      wide.SetHosts(candidates);
      CPPUNIT_ASSERT(wide.IsReader(At(0)));
    }
    CPPUNIT_ASSERT(!choice.IsReader(At(0)));
  }

  void AHostReadsWhenItsStateIsTooOld()
  {
    const auto choices = MakeChoices(HostNames(9));
    for (const auto& it : choices) {
      ReaderChoice& choice = *it.second;
      const auto host = choice.ReaderToAsk(At(0));
      if (!host) {
        continue;
      }
      CPPUNIT_ASSERT(choice.MustReadStore(RowUrgency::Vital, At(0)));
      choice.OnReaderAnswered(*host, At(0));
      CPPUNIT_ASSERT(!choice.MustReadStore(RowUrgency::Vital, At(1100)));
      CPPUNIT_ASSERT(choice.MustReadStore(RowUrgency::Vital, At(1200)));
      // A response that is no newer than the known state changes nothing.
      choice.OnReaderAnswered(*host, At(0));
      CPPUNIT_ASSERT(choice.MustReadStore(RowUrgency::Vital, At(1200)));
      choice.OnStoreRead(At(1200));
      CPPUNIT_ASSERT(!choice.MustReadStore(RowUrgency::Vital, At(2300)));
    }
  }

  // Guards against a reader using targets that left long ago because it waits
  // for a store that does not answer.
  void AReaderWithoutAnswersKnowsThatItsStateIsTooOld()
  {
    ReaderChoice choice({ "a", 0 });
    choice.OnStoreRead(At(1000));
    CPPUNIT_ASSERT(choice.IsReader(At(1000)));
    CPPUNIT_ASSERT(!choice.IsStale(At(2100)));
    CPPUNIT_ASSERT(choice.IsStale(At(2200)));
    choice.OnStoreRead(At(2250));
    CPPUNIT_ASSERT(!choice.IsStale(At(2300)));
  }

  // Guards against every host reading every table at once when the readers lose
  // the store for a moment: only what a host must not miss is worth a call.
  void AStaleHostReadsVitalTablesOnly()
  {
    const auto choices = MakeChoices(HostNames(195));
    int readers = 0;
    for (const auto& it : choices) {
      ReaderChoice& choice = *it.second;
      choice.OnStoreRead(At(0));
      CPPUNIT_ASSERT(choice.MustReadStore(RowUrgency::Vital, At(1200)));
      readers += choice.MustReadStore(RowUrgency::Background, At(1200)) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(195 / 24 + 1, readers);
  }

  // Guards against a read of the store by each host whose reader has failed
  // while another one can be asked at once.
  void TheNextReaderIsAskedAtOnce()
  {
    const auto choices = MakeChoices(HostNames(195));
    for (const auto& it : choices) {
      ReaderChoice& choice = *it.second;
      std::set<std::string> asked;
      for (auto host = choice.ReaderToAsk(At(0)); host && asked.size() < 3;
           host = choice.ReaderToAsk(At(0))) {
        CPPUNIT_ASSERT(asked.insert(*host).second);
        choice.OnReaderFailed(*host, At(0));
      }
    }
  }

  void AFailedReaderIsReplaced()
  {
    const auto choices = MakeChoices(HostNames(9));
    std::set<std::string> readers;
    for (const auto& it : choices) {
      if (it.second->IsReader(At(0))) {
        readers.insert(it.first);
      }
    }
    int replacements = 0;
    for (const auto& it : choices) {
      for (const std::string& reader : readers) {
        if (reader != it.first) {
          it.second->OnReaderFailed(reader, At(0));
        }
      }
      if (readers.count(it.first) != 0) {
        continue;
      }
      replacements += it.second->IsReader(At(10)) ? 1 : 0;
      const auto host = it.second->ReaderToAsk(At(10));
      CPPUNIT_ASSERT(!host || readers.count(*host) == 0);
      // The failed readers are asked again after the backoff.
      CPPUNIT_ASSERT(!it.second->IsReader(At(2100)));
    }
    CPPUNIT_ASSERT_EQUAL(2, replacements);
  }

  void RunningHostsStayUpToDate()
  {
    CheckProperty("running hosts know a recent state of the store", [] {
      const auto hosts = HostNames(*rc::gen::inRange(1, 30));
      const auto choices = MakeChoices(hosts);
      std::set<std::string> dead;
      constexpr int kRoundMs = 500;
      // Maximum age of what a host knows, in milliseconds: the staleness limit,
      // one round, and the timeout of a request that is not answered.
      constexpr int kMaxAgeMs = 1200 + kRoundMs + 300;
      for (int now = 10000; now < 40000; now += kRoundMs) {
        if (*rc::gen::inRange(0, 4) == 0) {
          const std::string host = *rc::gen::elementOf(hosts);
          if (dead.size() + 1 < hosts.size() && dead.count(host) == 0) {
            dead.insert(host);
          } else {
            dead.erase(host);
          }
        }
        for (const std::string& it : hosts) {
          if (dead.count(it) != 0) {
            continue;
          }
          ReaderChoice& choice = *choices.at(it);
          if (const auto host = choice.ReaderToAsk(At(now))) {
            if (dead.count(*host) != 0) {
              choice.OnReaderFailed(*host, At(now + 300));
            } else {
              choice.OnReaderAnswered(*host, choices.at(*host)->KnownAsOf());
              if (choice.MustReadStore(RowUrgency::Vital, At(now))) {
                choice.OnReaderFailed(*host, At(now));
              }
            }
          }
          if (choice.MustReadStore(RowUrgency::Vital, At(now))) {
            choice.OnStoreRead(At(now));
          }
          RC_ASSERT(At(now) - choice.KnownAsOf() <=
                    std::chrono::milliseconds(kMaxAgeMs));
        }
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReaderChoiceTests);
