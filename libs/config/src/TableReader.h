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

struct IntegerRange
{
  int64_t mLow = 0;
  int64_t mHigh = 0;
};

/** Problems of one file, in the order in which they were found. */
struct ProblemList
{
  std::string mFile;
  std::vector<ConfigProblem> mProblems;

  void Add(uint32_t aLine, std::string aKey, std::string aReason)
  {
    mProblems.push_back({ mFile, aLine, std::move(aKey), std::move(aReason) });
  }
};

/** Strict reader of one TOML table: records a problem for each key that is
 * missing, unknown, of another type or out of range. Not safe for use by
 * several threads. */
class TableReader
{
public:
  /** @param aPath prefix of the keys in problems, empty for the root. */
  TableReader(const toml::table& aTable,
              std::string aPath,
              ProblemList& aProblems)
    : mTable(aTable)
    , mPath(std::move(aPath))
    , mProblems(aProblems)
  {
  }

  /** Each reader returns the value, or nothing when it is absent or bad. */
  std::optional<std::string> String(std::string_view aKey, Presence aPresence);
  std::optional<std::string> Name(std::string_view aKey, Presence aPresence);
  std::optional<bool> Boolean(std::string_view aKey, Presence aPresence);
  std::optional<int64_t> Integer(std::string_view aKey,
                                 Presence aPresence,
                                 IntegerRange aRange);
  std::optional<double> Number(std::string_view aKey,
                               Presence aPresence,
                               double aLow,
                               double aHigh);
  const toml::array* Array(std::string_view aKey, Presence aPresence);
  const toml::table* Table(std::string_view aKey, Presence aPresence);

  [[nodiscard]] bool Has(std::string_view aKey) const
  {
    return mTable.contains(aKey);
  }
  /** Reports every key that no reader asked for. */
  void ReportUnknownKeys();
  /** Reports a problem of a key; at the line of the table if it is absent. */
  void Report(std::string_view aKey, std::string aReason);

  [[nodiscard]] uint32_t LineOf(std::string_view aKey) const;
  [[nodiscard]] std::string PathOf(std::string_view aKey) const;

private:
  const toml::node* Find(std::string_view aKey, Presence aPresence);

  const toml::table& mTable;
  std::string mPath;
  ProblemList& mProblems;
  std::set<std::string, std::less<>> mAsked;
};

/** @return the root table, or nothing after a syntax error was recorded. */
std::optional<toml::table>
ParseToml(std::string_view aText, ProblemList& aProblems);

} // namespace amaranthgap
