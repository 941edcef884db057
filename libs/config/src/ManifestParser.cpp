#include <map>
#include <optional>
#include <set>

#include <fmt/format.h>

#include "LimitFields.h"
#include "TableReader.h"
#include "config/Manifest.h"

namespace amaranthgap {

namespace {

// Reads one manifest; the members are the declarations seen so far.
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
    ForEach(
      root, "callers", [this](TableReader& aTable) { AddCaller(aTable); });
    ForEach(
      root, "services", [this](TableReader& aTable) { AddService(aTable); });
    ForEach(root, "classes", [this](TableReader& aTable) { AddClass(aTable); });
    root.ReportUnknownKeys();
    CheckUnusedServices();
    CheckLifetimes(root);
    CheckSize();
    return std::move(mEntries);
  }

private:
  struct Declared
  {
    uint32_t mLine = 0;
    RequestClass mEntry;
  };

  void ReadLimits(TableReader& aRoot)
  {
    const toml::table* table = aRoot.Table("limits", Presence::Optional);
    const toml::table empty;
    TableReader reader(table ? *table : empty, "limits", mProblems);
    for (const LimitField& field : kLimitFields) {
      ReadLimit(reader, field);
      mEntries[fmt::format("limits/{}", field.mKey)] =
        LimitValue(field, mLimits);
    }
    reader.ReportUnknownKeys();
  }

  void ReadLimit(TableReader& aReader, const LimitField& aField)
  {
    if (const auto* member =
          std::get_if<double FleetLimits::*>(&aField.mMember)) {
      if (const auto value = aReader.Number(
            aField.mKey, Presence::Optional, aField.mLow, aField.mHigh)) {
        mLimits.*(*member) = *value;
      }
      return;
    }
    const auto value =
      aReader.Integer(aField.mKey,
                      Presence::Optional,
                      { int64_t(aField.mLow), int64_t(aField.mHigh) });
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

  // Calls aAdd for each table of an array of tables.
  template<class Add>
  void ForEach(TableReader& aRoot, std::string_view aKey, Add aAdd)
  {
    const toml::array* array = aRoot.Array(aKey, Presence::Required);
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
    const auto name = aTable.Name("name", Presence::Required);
    const auto party = aTable.Name("party", Presence::Required);
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
    const auto name = aTable.Name("name", Presence::Required);
    if (!name) {
      return;
    }
    const auto [it, isNew] = mServices.emplace(*name, aTable.LineOf("name"));
    if (!isNew) {
      aTable.Report(
        "name",
        fmt::format("duplicate of service {} in line {}", *name, it->second));
    }
  }

  void AddClass(TableReader& aTable)
  {
    const auto service = aTable.Name("service", Presence::Required);
    const auto name = aTable.Name("name", Presence::Required);
    const auto importance =
      aTable.Integer("importance", Presence::Required, { 0, kMaxImportance });
    const auto idempotent = aTable.Boolean("idempotent", Presence::Required);
    const auto timeout =
      aTable.Integer("timeout_ms",
                     Presence::Required,
                     { kShortestTimeoutMs, kLongestTimeoutMs });
    if (service && mServices.find(*service) == mServices.end()) {
      aTable.Report("service",
                    fmt::format("service {} is not declared", *service));
    }
    if (service) {
      mUsedServices.insert(*service);
    }
    if (!service || !name || !importance || !idempotent || !timeout) {
      return;
    }
    Declare(aTable,
            fmt::format("classes/{}/{}", *service, *name),
            { .mImportance = uint32_t(*importance),
              .mIdempotent = *idempotent,
              .mTimeout = milliseconds(*timeout) });
  }

  void Declare(TableReader& aTable,
               const std::string& aKey,
               const RequestClass& aEntry)
  {
    const auto [it, isNew] =
      mClasses.emplace(aKey, Declared{ aTable.LineOf("name"), aEntry });
    if (!isNew) {
      const Declared& other = it->second;
      const bool sameLevel = other.mEntry.mImportance == aEntry.mImportance;
      aTable.Report(
        sameLevel ? "name" : "importance",
        sameLevel
          ? fmt::format("duplicate of {} in line {}", aKey, other.mLine)
          : fmt::format("contradictory importance: {} in line {} has {}",
                        aKey,
                        other.mLine,
                        other.mEntry.mImportance));
      return;
    }
    mEntries[aKey] = ClassValue(aEntry);
  }

  // A service exists through its classes; one without any could not be called.
  void CheckUnusedServices()
  {
    for (const auto& [name, line] : mServices) {
      if (mUsedServices.find(name) == mUsedServices.end()) {
        mProblems.Add(
          line, "services", fmt::format("service {} has no class", name));
      }
    }
  }

  // An idempotency key has to outlive the call that it protects.
  void CheckLifetimes(TableReader& aRoot)
  {
    for (const auto& [key, declared] : mClasses) {
      if (!declared.mEntry.mIdempotent &&
          declared.mEntry.mTimeout > mLimits.mKeyLifetime) {
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
    if (size > kLargestManifest) {
      mProblems.Add(1, "(file)", "out of range: larger than 1 MB");
    }
  }

  const toml::table& mRoot;
  ProblemList& mProblems;
  FleetLimits mLimits;
  ManifestEntries mEntries;
  std::map<std::string, uint32_t> mCallerLines;
  std::map<std::string, uint32_t> mServices;
  std::set<std::string> mUsedServices;
  std::map<std::string, Declared> mClasses;
};

} // namespace

ConfigResult<ManifestEntries>
ParseManifest(std::string_view aText, const std::string& aFile)
{
  ProblemList problems{ .mFile = aFile };
  if (aText.size() > kLargestManifest) {
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
