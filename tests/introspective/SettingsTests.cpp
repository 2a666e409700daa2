#include "config/SettingsFile.h"
#include "generated/settings.pb.h"
#include "wire/Json.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdio>
#include <fstream>
#include <functional>
#include <unistd.h>

using namespace quetzalquay;

namespace {

schema::Configuration
ExampleConfiguration()
{
  schema::Configuration configuration;
  const auto problem =
    ReadSettingsFile("examples/hanbit/configuration.json", configuration);
  CPPUNIT_ASSERT_MESSAGE(problem.value_or(""), !problem);
  return configuration;
}

void
RequireProblem(const std::function<void(schema::Configuration&)>& aDamage,
               const std::string& aField)
{
  schema::Configuration configuration = ExampleConfiguration();
  aDamage(configuration);
  const auto problem = CheckSettings(configuration);
  CPPUNIT_ASSERT_MESSAGE("nothing found in " + aField, problem.has_value());
  CPPUNIT_ASSERT_MESSAGE(*problem, problem->find(aField) == 0);
}

// Problem of a router settings file with this text.
std::string
ProblemOfFile(const std::string& aText)
{
  char path[] = "/tmp/quetzal-settings-XXXXXX";
  ::close(::mkstemp(path));
  std::ofstream(path) << aText;
  std::string reason;
  const auto settings = LoadSettingsFile<schema::RouterSettings>(path, reason);
  std::remove(path);
  CPPUNIT_ASSERT(!settings);
  CPPUNIT_ASSERT_MESSAGE(reason, reason.find(path) == 0);
  return reason;
}

} // namespace

class SettingsTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SettingsTests);
  CPPUNIT_TEST(ExamplesAreUsable);
  CPPUNIT_TEST(DamagedResourcesAreRefused);
  CPPUNIT_TEST(DamagedFilesAreRefused);
  CPPUNIT_TEST(OutOfRangeNumbersAreRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void ExamplesAreUsable()
  {
    std::string reason;
    for (const char* folder : { "hanbit", "kierrosaika", "demo" }) {
      const std::string base = std::string("examples/") + folder + "/";
      CPPUNIT_ASSERT_MESSAGE(reason,
                             LoadSettingsFile<schema::Configuration>(
                               base + "configuration.json", reason)
                               .has_value());
      CPPUNIT_ASSERT_MESSAGE(
        reason,
        LoadSettingsFile<schema::RouterSettings>(base + "router-2.json", reason)
          .has_value());
      CPPUNIT_ASSERT_MESSAGE(
        reason,
        LoadSettingsFile<schema::ApiSettings>(base + "api-1.json", reason)
          .has_value());
      CPPUNIT_ASSERT_MESSAGE(reason,
                             LoadSettingsFile<schema::ControllerSettings>(
                               base + "controller-1.json", reason)
                               .has_value());
      for (const char* load : { "load-calm.json", "load-faults.json" }) {
        CPPUNIT_ASSERT_MESSAGE(
          reason,
          LoadSettingsFile<schema::LoadSettings>(base + load, reason)
            .has_value());
      }
    }
  }

  void DamagedResourcesAreRefused()
  {
    using C = schema::Configuration;
    RequireProblem([](C& c) { c.set_revision(0); }, "revision");
    RequireProblem([](C& c) { *c.add_places() = c.places(0); },
                   "places[3].name");
    RequireProblem([](C& c) { c.mutable_models(0)->set_serving_version("9"); },
                   "models[0].serving_version");
    RequireProblem([](C& c) { c.mutable_adapters(0)->set_model("none"); },
                   "adapters[0].model");
    RequireProblem([](C& c) { c.mutable_services(0)->set_model("none"); },
                   "services[0].model");
    RequireProblem([](C& c) { c.mutable_services(1)->set_model("suro-model"); },
                   "services[1].model");
    RequireProblem([](C& c) { c.mutable_workspaces(0)->set_weight(0); },
                   "workspaces[0].weight");
    RequireProblem(
      [](C& c) { c.mutable_workspaces(0)->set_key_sha256(0, "abc"); },
      "workspaces[0].key_sha256");
    RequireProblem([](C& c) { c.mutable_workspaces(1)->add_models("none"); },
                   "workspaces[1].models");
    RequireProblem([](C& c) { c.mutable_targets(4)->set_address("a.host"); },
                   "targets[4].address");
    RequireProblem([](C& c) { c.mutable_targets(4)->set_place("none"); },
                   "targets[4].place");
    RequireProblem([](C& c) { c.mutable_targets(4)->set_port(70000); },
                   "targets[4].port");
    RequireProblem(
      [](C& c) { c.mutable_targets(4)->set_address(c.targets(3).address()); },
      "targets[4].port");
  }

  void DamagedFilesAreRefused()
  {
    CPPUNIT_ASSERT(ProblemOfFile("{\"name\": 3").find("") == 0);
    const std::string unknown = ProblemOfFile("{\"nane\": \"router\"}");
    CPPUNIT_ASSERT_MESSAGE(unknown, unknown.find("nane") != std::string::npos);
    const std::string type = ProblemOfFile("{\"max_connections\": \"many\"}");
    CPPUNIT_ASSERT_MESSAGE(type,
                           type.find("max_connections") != std::string::npos);
  }

  void OutOfRangeNumbersAreRefused()
  {
    schema::RouterSettings good;
    CPPUNIT_ASSERT(!ReadSettingsFile("examples/hanbit/router-1.json", good));
    CPPUNIT_ASSERT(!CheckSettings(good));
    schema::RouterSettings bad = good;
    bad.set_max_connections(0);
    CPPUNIT_ASSERT(CheckSettings(bad)->find("max_connections") == 0);
    bad = good;
    bad.mutable_event_id_keys(0)->set_secret("short");
    CPPUNIT_ASSERT(CheckSettings(bad)->find("event_id_keys[0].secret") == 0);
    bad = good;
    bad.set_max_deadline_ms(good.default_deadline_ms() - 1);
    CPPUNIT_ASSERT(CheckSettings(bad)->find("max_deadline_ms") == 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTests);
