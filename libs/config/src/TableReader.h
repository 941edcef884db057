#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "Toml.h"
#include "base/Time.h"
#include "config/Manifest.h"

namespace amaranthgap {

enum class Presence : uint8_t
{
  Required,
  Optional,
};

/** Inclusive range. */
struct IntegerRange
{
  int64_t mMin = 0;
  int64_t mMax = 0;
};

/** Problems found in one file, in order of detection. */
struct ProblemList
{
  std::string mFile;
  std::vector<ConfigProblem> mProblems;

  void Add(uint32_t aLine, std::string aKey, std::string aReason)
  {
    mProblems.push_back({ mFile, aLine, std::move(aKey), std::move(aReason) });
  }
};

/** Strict reader of one TOML table: reports a problem for each key that is
 * missing, unknown, of the wrong type or out of range. Not thread-safe. */
class TableReader
{
public:
  /** @param aPath path of the table, prefixed to keys in problems; empty for
   * the root table. */
  TableReader(const toml::table& aTable,
              std::string aPath,
              ProblemList& aProblems)
    : mTable(aTable)
    , mPath(std::move(aPath))
    , mProblems(aProblems)
  {
  }

  /** Each Read function returns the value, or nothing if the key is absent or
   * its value is invalid. */
  std::optional<std::string> ReadString(std::string_view aKey,
                                        Presence aPresence);
  std::optional<std::string> ReadName(std::string_view aKey,
                                      Presence aPresence);
  std::optional<bool> ReadBoolean(std::string_view aKey, Presence aPresence);
  std::optional<int64_t> ReadInteger(std::string_view aKey,
                                     Presence aPresence,
                                     IntegerRange aRange);
  std::optional<double> ReadNumber(std::string_view aKey,
                                   Presence aPresence,
                                   double aMin,
                                   double aMax);
  const toml::array* ReadArray(std::string_view aKey, Presence aPresence);
  const toml::table* ReadTable(std::string_view aKey, Presence aPresence);

  [[nodiscard]] bool Has(std::string_view aKey) const
  {
    return mTable.contains(aKey);
  }
  /** Reports each key of the table that was not read. */
  void ReportUnknownKeys();
  /** Reports a problem with a key, at the line of the key or, if it is absent,
   * of the table. */
  void Report(std::string_view aKey, std::string aReason);

  [[nodiscard]] uint32_t LineOf(std::string_view aKey) const;
  [[nodiscard]] std::string PathOf(std::string_view aKey) const;

private:
  const toml::node* Find(std::string_view aKey, Presence aPresence);

  const toml::table& mTable;
  std::string mPath;
  ProblemList& mProblems;
  std::set<std::string, std::less<>> mRequestedKeys;
};

/** @return the root table, or nothing if there is a syntax error, which is
 * added to aProblems. */
std::optional<toml::table>
ParseToml(std::string_view aText, ProblemList& aProblems);

} // namespace amaranthgap
