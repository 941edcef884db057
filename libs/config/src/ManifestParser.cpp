#include <map>
#include <optional>
#include <set>

#include <fmt/format.h>

#include "LimitFields.h"
#include "TableReader.h"
#include "config/Manifest.h"

namespace amaranthgap {

namespace {

// Converts one TOML manifest to the flat form. The members hold the
// declarations read so far.
class ManifestParser
{
public:
  ManifestParser(const toml::table& aRoot, ProblemList& aProblems)
    : mRoot(aRoot)
    , mProblems(aProblems)
  {
  }

  ManifestEntries Parse()
  {
    TableReader root(mRoot, "", mProblems);
    ReadLimits(root);
    ForEachTable(
      root, "callers", [this](TableReader& aTable) { AddCaller(aTable); });
    ForEachTable(
      root, "services", [this](TableReader& aTable) { AddService(aTable); });
    ForEachTable(
      root, "classes", [this](TableReader& aTable) { AddClass(aTable); });
    root.ReportUnknownKeys();
    CheckUnusedServices();
    CheckKeyLifetimes(root);
    CheckSize();
    return std::move(mEntries);
  }

private:
  struct DeclaredClass
  {
    uint32_t mLine = 0;
    RequestClass mClass;
  };

  void ReadLimits(TableReader& aRoot)
  {
    const toml::table* table = aRoot.ReadTable("limits", Presence::Optional);
    const toml::table empty;
    TableReader reader(table ? *table : empty, "limits", mProblems);
    for (const LimitField& field : kLimitFields) {
      ReadLimit(reader, field);
      mEntries[fmt::format("limits/{}", field.mKey)] =
        FormatLimit(field, mLimits);
    }
    reader.ReportUnknownKeys();
  }

  void ReadLimit(TableReader& aReader, const LimitField& aField)
  {
    if (const auto* member =
          std::get_if<double FleetLimits::*>(&aField.mMember)) {
      if (const auto value = aReader.ReadNumber(
            aField.mKey, Presence::Optional, aField.mMin, aField.mMax)) {
        mLimits.*(*member) = *value;
      }
      return;
    }
    const auto value =
      aReader.ReadInteger(aField.mKey,
                          Presence::Optional,
                          { int64_t(aField.mMin), int64_t(aField.mMax) });
    if (!value) {
      return;
    }
    if (const auto* member =
          std::get_if<Duration FleetLimits::*>(&aField.mMember)) {
      mLimits.*(*member) = milliseconds(*value);
    } else {
      mLimits.*std::get<uint32_t FleetLimits::*>(aField.mMember) =
        uint32_t(*value);
    }
  }

  // Calls aAdd for each table in an array of tables, and reports unknown keys.
  template<class Add>
  void ForEachTable(TableReader& aRoot, std::string_view aKey, Add aAdd)
  {
    const toml::array* array = aRoot.ReadArray(aKey, Presence::Required);
    if (!array) {
      return;
    }
    if (array->empty()) {
      aRoot.Report(aKey, "out of range: must not be empty");
    }
    size_t n = 0;
    for (const toml::node& node : *array) {
      const auto path = fmt::format("{}[{}]", aKey, n++);
      if (const toml::table* table = node.as_table()) {
        TableReader reader(*table, path, mProblems);
        aAdd(reader);
        reader.ReportUnknownKeys();
      } else {
        mProblems.Add(
          node.source().begin.line, path, "wrong type: expected table");
      }
    }
  }

  void AddCaller(TableReader& aTable)
  {
    const auto name = aTable.ReadName("name", Presence::Required);
    const auto party = aTable.ReadName("party", Presence::Required);
    if (!name) {
      return;
    }
    const auto [it, isNew] = mCallerLines.emplace(*name, aTable.LineOf("name"));
    if (!isNew) {
      const auto& other = mEntries[fmt::format("callers/{}", *name)];
      const bool same = !party || other == *party;
      aTable.Report("name",
                    fmt::format("{} of caller {} in line {}",
                                same ? "duplicate" : "contradictory party",
                                *name,
                                it->second));
      return;
    }
    mEntries[fmt::format("callers/{}", *name)] = party.value_or("");
  }

  void AddService(TableReader& aTable)
  {
    const auto name = aTable.ReadName("name", Presence::Required);
    if (!name) {
      return;
    }
    const auto [it, isNew] =
      mServiceLines.emplace(*name, aTable.LineOf("name"));
    if (!isNew) {
      aTable.Report(
        "name",
        fmt::format("duplicate of service {} in line {}", *name, it->second));
    }
  }

  void AddClass(TableReader& aTable)
  {
    const auto service = aTable.ReadName("service", Presence::Required);
    const auto name = aTable.ReadName("name", Presence::Required);
    const auto importance = aTable.ReadInteger(
      "importance", Presence::Required, { 0, kMaxImportance });
    const auto idempotent =
      aTable.ReadBoolean("idempotent", Presence::Required);
    const auto timeout = aTable.ReadInteger(
      "timeout_ms", Presence::Required, { kMinTimeoutMs, kMaxTimeoutMs });
    if (service && mServiceLines.find(*service) == mServiceLines.end()) {
      aTable.Report("service",
                    fmt::format("service {} is not declared", *service));
    }
    if (service) {
      mUsedServices.insert(*service);
    }
    if (!service || !name || !importance || !idempotent || !timeout) {
      return;
    }
    DeclareClass(aTable,
                 fmt::format("classes/{}/{}", *service, *name),
                 { .mImportance = uint32_t(*importance),
                   .mIdempotent = *idempotent,
                   .mTimeout = milliseconds(*timeout) });
  }

  void DeclareClass(TableReader& aTable,
                    const std::string& aKey,
                    const RequestClass& aClass)
  {
    const auto [it, isNew] =
      mClasses.emplace(aKey, DeclaredClass{ aTable.LineOf("name"), aClass });
    if (!isNew) {
      const DeclaredClass& other = it->second;
      const bool sameLevel = other.mClass.mImportance == aClass.mImportance;
      aTable.Report(
        sameLevel ? "name" : "importance",
        sameLevel
          ? fmt::format("duplicate of {} in line {}", aKey, other.mLine)
          : fmt::format("contradictory importance: {} in line {} has {}",
                        aKey,
                        other.mLine,
                        other.mClass.mImportance));
      return;
    }
    mEntries[aKey] = FormatClass(aClass);
  }

  // The flat form stores services only as part of their classes, and a service
  // without classes cannot be called.
  void CheckUnusedServices()
  {
    for (const auto& [name, line] : mServiceLines) {
      if (mUsedServices.find(name) == mUsedServices.end()) {
        mProblems.Add(
          line, "services", fmt::format("service {} has no class", name));
      }
    }
  }

  // An idempotency key must remain valid for the whole call that it protects.
  void CheckKeyLifetimes(TableReader& aRoot)
  {
    for (const auto& [key, declared] : mClasses) {
      if (!declared.mClass.mIdempotent &&
          declared.mClass.mTimeout > mLimits.mKeyLifetime) {
        mProblems.Add(declared.mLine,
                      aRoot.PathOf("classes"),
                      fmt::format("contradictory: the timeout of {} exceeds "
                                  "limits.key_lifetime_ms",
                                  key));
      }
    }
  }

  void CheckSize()
  {
    size_t size = 0;
    for (const auto& [key, value] : mEntries) {
      size += key.size() + value.size();
    }
    if (size > kMaxManifestBytes) {
      mProblems.Add(1, "(file)", "out of range: larger than 1 MB");
    }
  }

  const toml::table& mRoot;
  ProblemList& mProblems;
  FleetLimits mLimits;
  ManifestEntries mEntries;
  std::map<std::string, uint32_t> mCallerLines;
  std::map<std::string, uint32_t> mServiceLines;
  std::set<std::string> mUsedServices;
  std::map<std::string, DeclaredClass> mClasses;
};

} // namespace

ConfigResult<ManifestEntries>
ParseManifest(std::string_view aText, const std::string& aFile)
{
  ProblemList problems{ .mFile = aFile };
  if (aText.size() > kMaxManifestBytes) {
    problems.Add(1, "(file)", "out of range: larger than 1 MB");
    return std::move(problems.mProblems);
  }
  const auto root = ParseToml(aText, problems);
  if (!root) {
    return std::move(problems.mProblems);
  }
  ManifestEntries entries = ManifestParser(*root, problems).Parse();
  if (!problems.mProblems.empty()) {
    return std::move(problems.mProblems);
  }
  return entries;
}

} // namespace amaranthgap
