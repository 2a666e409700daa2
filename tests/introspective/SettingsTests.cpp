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
AssertProblem(const std::function<void(schema::Configuration&)>& aModify,
              const std::string& aField)
{
  schema::Configuration configuration = ExampleConfiguration();
  aModify(configuration);
  const auto problem = CheckSettings(configuration);
  CPPUNIT_ASSERT_MESSAGE("no error reported for " + aField,
                         problem.has_value());
  CPPUNIT_ASSERT_MESSAGE(*problem, problem->find(aField) == 0);
}

// Error that loading a router settings file with this content gives.
std::string
LoadProblem(const std::string& aContent)
{
  char path[] = "/tmp/quetzal-settings-XXXXXX";
  ::close(::mkstemp(path));
  std::ofstream(path) << aContent;
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
  CPPUNIT_TEST(AcceptsExampleSettings);
  CPPUNIT_TEST(RejectsInvalidResources);
  CPPUNIT_TEST(RejectsMalformedFiles);
  CPPUNIT_TEST(RejectsOutOfRangeValues);
  CPPUNIT_TEST_SUITE_END();

public:
  void AcceptsExampleSettings()
  {
    std::string reason;
    for (const char* directory : { "hanbit", "kierrosaika", "demo" }) {
      const std::string base = std::string("examples/") + directory + "/";
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

  void RejectsInvalidResources()
  {
    using C = schema::Configuration;
    AssertProblem([](C& c) { c.set_revision(0); }, "revision");
    AssertProblem([](C& c) { *c.add_places() = c.places(0); },
                  "places[3].name");
    AssertProblem([](C& c) { c.mutable_models(0)->set_serving_version("9"); },
                  "models[0].serving_version");
    AssertProblem([](C& c) { c.mutable_adapters(0)->set_model("none"); },
                  "adapters[0].model");
    AssertProblem([](C& c) { c.mutable_services(0)->set_model("none"); },
                  "services[0].model");
    AssertProblem([](C& c) { c.mutable_services(1)->set_model("suro-model"); },
                  "services[1].model");
    AssertProblem([](C& c) { c.mutable_workspaces(0)->set_weight(0); },
                  "workspaces[0].weight");
    AssertProblem(
      [](C& c) { c.mutable_workspaces(0)->set_key_sha256(0, "abc"); },
      "workspaces[0].key_sha256");
    AssertProblem([](C& c) { c.mutable_workspaces(1)->add_models("none"); },
                  "workspaces[1].models");
    AssertProblem([](C& c) { c.mutable_targets(4)->set_address("a.host"); },
                  "targets[4].address");
    AssertProblem([](C& c) { c.mutable_targets(4)->set_place("none"); },
                  "targets[4].place");
    AssertProblem([](C& c) { c.mutable_targets(4)->set_port(70000); },
                  "targets[4].port");
    AssertProblem(
      [](C& c) { c.mutable_targets(4)->set_address(c.targets(3).address()); },
      "targets[4].port");
  }

  void RejectsMalformedFiles()
  {
    CPPUNIT_ASSERT(LoadProblem("{\"name\": 3").find("") == 0);
    const std::string unknownField = LoadProblem("{\"nane\": \"router\"}");
    CPPUNIT_ASSERT_MESSAGE(unknownField,
                           unknownField.find("nane") != std::string::npos);
    const std::string wrongType =
      LoadProblem("{\"max_connections\": \"many\"}");
    CPPUNIT_ASSERT_MESSAGE(
      wrongType, wrongType.find("max_connections") != std::string::npos);
  }

  void RejectsOutOfRangeValues()
  {
    schema::RouterSettings valid;
    CPPUNIT_ASSERT(!ReadSettingsFile("examples/hanbit/router-1.json", valid));
    CPPUNIT_ASSERT(!CheckSettings(valid));
    schema::RouterSettings invalid = valid;
    invalid.set_max_connections(0);
    CPPUNIT_ASSERT(CheckSettings(invalid)->find("max_connections") == 0);
    invalid = valid;
    invalid.mutable_event_id_keys(0)->set_secret("short");
    CPPUNIT_ASSERT(CheckSettings(invalid)->find("event_id_keys[0].secret") ==
                   0);
    invalid = valid;
    invalid.set_max_deadline_ms(valid.default_deadline_ms() - 1);
    CPPUNIT_ASSERT(CheckSettings(invalid)->find("max_deadline_ms") == 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTests);
