#include "TableReader.h"

#include <algorithm>

#include <fmt/format.h>

#include "Names.h"

namespace amaranthgap {

namespace {

std::string
DescribeTypeMismatch(std::string_view aExpected, const toml::node& aNode)
{
  return fmt::format(
    "wrong type: expected {}, found {}",
    aExpected,
    toml::impl::node_type_friendly_names[size_t(aNode.type())]);
}

// Explains that units are part of the key if the value is a text such as
// "30 s".
std::string
DescribeNumberMismatch(std::string_view aExpected, const toml::node& aNode)
{
  std::string out = DescribeTypeMismatch(aExpected, aNode);
  if (aNode.is_string()) {
    out += "; the unit is part of the key, and no text may follow the number";
  }
  return out;
}

} // namespace

const toml::node*
TableReader::Find(std::string_view aKey, Presence aPresence)
{
  mRequestedKeys.emplace(aKey);
  const toml::node* node = mTable.get(aKey);
  if (!node && aPresence == Presence::Required) {
    Report(aKey, "missing key");
  }
  return node;
}

std::optional<std::string>
TableReader::ReadString(std::string_view aKey, Presence aPresence)
{
  const toml::node* node = Find(aKey, aPresence);
  if (!node) {
    return std::nullopt;
  }
  auto value = node->value_exact<std::string>();
  if (!value) {
    Report(aKey, DescribeTypeMismatch("string", *node));
  }
  return value;
}

std::optional<std::string>
TableReader::ReadName(std::string_view aKey, Presence aPresence)
{
  auto value = ReadString(aKey, aPresence);
  if (value && !IsValidName(*value)) {
    Report(aKey, fmt::format("out of range: {}", kNameRule));
    return std::nullopt;
  }
  return value;
}

std::optional<bool>
TableReader::ReadBoolean(std::string_view aKey, Presence aPresence)
{
  const toml::node* node = Find(aKey, aPresence);
  if (!node) {
    return std::nullopt;
  }
  const auto value = node->value_exact<bool>();
  if (!value) {
    Report(aKey, DescribeTypeMismatch("boolean", *node));
  }
  return value;
}

std::optional<int64_t>
TableReader::ReadInteger(std::string_view aKey,
                         Presence aPresence,
                         IntegerRange aRange)
{
  const toml::node* node = Find(aKey, aPresence);
  if (!node) {
    return std::nullopt;
  }
  const auto value = node->value_exact<int64_t>();
  if (!value) {
    Report(aKey, DescribeNumberMismatch("integer", *node));
    return std::nullopt;
  }
  if (*value < aRange.mMin || *value > aRange.mMax) {
    Report(aKey,
           fmt::format("out of range: {} is not within {} to {}",
                       *value,
                       aRange.mMin,
                       aRange.mMax));
    return std::nullopt;
  }
  return value;
}

std::optional<double>
TableReader::ReadNumber(std::string_view aKey,
                        Presence aPresence,
                        double aMin,
                        double aMax)
{
  const toml::node* node = Find(aKey, aPresence);
  if (!node) {
    return std::nullopt;
  }
  if (!node->is_number()) {
    Report(aKey, DescribeNumberMismatch("number", *node));
    return std::nullopt;
  }
  const double value = node->value<double>().value_or(0);
  // The negated condition also rejects NaN.
  if (!(value >= aMin && value <= aMax)) {
    Report(aKey,
           fmt::format(
             "out of range: {} is not within {} to {}", value, aMin, aMax));
    return std::nullopt;
  }
  return value;
}

const toml::array*
TableReader::ReadArray(std::string_view aKey, Presence aPresence)
{
  const toml::node* node = Find(aKey, aPresence);
  if (node && !node->is_array()) {
    Report(aKey, DescribeTypeMismatch("array", *node));
    return nullptr;
  }
  return node ? node->as_array() : nullptr;
}

const toml::table*
TableReader::ReadTable(std::string_view aKey, Presence aPresence)
{
  const toml::node* node = Find(aKey, aPresence);
  if (node && !node->is_table()) {
    Report(aKey, DescribeTypeMismatch("table", *node));
    return nullptr;
  }
  return node ? node->as_table() : nullptr;
}

void
TableReader::ReportUnknownKeys()
{
  for (const auto& [key, node] : mTable) {
    if (mRequestedKeys.find(key.str()) == mRequestedKeys.end()) {
      mProblems.Add(key.source().begin.line, PathOf(key.str()), "unknown key");
    }
  }
}

void
TableReader::Report(std::string_view aKey, std::string aReason)
{
  mProblems.Add(LineOf(aKey), PathOf(aKey), std::move(aReason));
}

uint32_t
TableReader::LineOf(std::string_view aKey) const
{
  const toml::node* node = mTable.get(aKey);
  const toml::source_region& source = node ? node->source() : mTable.source();
  return std::max<uint32_t>(1, source.begin.line);
}

std::string
TableReader::PathOf(std::string_view aKey) const
{
  return mPath.empty() ? std::string(aKey) : fmt::format("{}.{}", mPath, aKey);
}

std::optional<toml::table>
ParseToml(std::string_view aText, ProblemList& aProblems)
{
  toml::parse_result parsed = toml::parse(aText, aProblems.mFile);
  if (!parsed) {
    const toml::parse_error& error = parsed.error();
    aProblems.Add(
      error.source().begin.line, "(syntax)", std::string(error.description()));
    return std::nullopt;
  }
  return std::move(parsed).table();
}

} // namespace amaranthgap
