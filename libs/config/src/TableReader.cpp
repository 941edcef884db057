#include "TableReader.h"

#include <algorithm>

#include <fmt/format.h>

#include "Names.h"

namespace amaranthgap {

namespace {

std::string
TypeReason(std::string_view aWanted, const toml::node& aNode)
{
  return fmt::format(
    "wrong type: expected {}, found {}",
    aWanted,
    toml::impl::node_type_friendly_names[size_t(aNode.type())]);
}

// A unit belongs into the key; a text such as "30 s" is refused as a whole.
std::string
NumberReason(std::string_view aWanted, const toml::node& aNode)
{
  std::string out = TypeReason(aWanted, aNode);
  if (aNode.is_string()) {
    out += "; the unit is part of the key, and no text may follow the number";
  }
  return out;
}

} // namespace

const toml::node*
TableReader::Find(std::string_view aKey, Presence aPresence)
{
  mAsked.emplace(aKey);
  const toml::node* node = mTable.get(aKey);
  if (!node && aPresence == Presence::Required) {
    Report(aKey, "missing key");
  }
  return node;
}

std::optional<std::string>
TableReader::String(std::string_view aKey, Presence aPresence)
{
  const toml::node* node = Find(aKey, aPresence);
  if (!node) {
    return std::nullopt;
  }
  auto value = node->value_exact<std::string>();
  if (!value) {
    Report(aKey, TypeReason("string", *node));
  }
  return value;
}

std::optional<std::string>
TableReader::Name(std::string_view aKey, Presence aPresence)
{
  auto value = String(aKey, aPresence);
  if (value && !IsName(*value)) {
    Report(aKey, fmt::format("out of range: {}", kNameRule));
    return std::nullopt;
  }
  return value;
}

std::optional<bool>
TableReader::Boolean(std::string_view aKey, Presence aPresence)
{
  const toml::node* node = Find(aKey, aPresence);
  if (!node) {
    return std::nullopt;
  }
  const auto value = node->value_exact<bool>();
  if (!value) {
    Report(aKey, TypeReason("boolean", *node));
  }
  return value;
}

std::optional<int64_t>
TableReader::Integer(std::string_view aKey,
                     Presence aPresence,
                     IntegerRange aRange)
{
  const toml::node* node = Find(aKey, aPresence);
  if (!node) {
    return std::nullopt;
  }
  const auto value = node->value_exact<int64_t>();
  if (!value) {
    Report(aKey, NumberReason("integer", *node));
    return std::nullopt;
  }
  if (*value < aRange.mLow || *value > aRange.mHigh) {
    Report(aKey,
           fmt::format("out of range: {} is not within {} to {}",
                       *value,
                       aRange.mLow,
                       aRange.mHigh));
    return std::nullopt;
  }
  return value;
}

std::optional<double>
TableReader::Number(std::string_view aKey,
                    Presence aPresence,
                    double aLow,
                    double aHigh)
{
  const toml::node* node = Find(aKey, aPresence);
  if (!node) {
    return std::nullopt;
  }
  if (!node->is_number()) {
    Report(aKey, NumberReason("number", *node));
    return std::nullopt;
  }
  const double value = node->value<double>().value_or(0);
  // The negated form also refuses a value that is not a number.
  if (!(value >= aLow && value <= aHigh)) {
    Report(aKey,
           fmt::format(
             "out of range: {} is not within {} to {}", value, aLow, aHigh));
    return std::nullopt;
  }
  return value;
}

const toml::array*
TableReader::Array(std::string_view aKey, Presence aPresence)
{
  const toml::node* node = Find(aKey, aPresence);
  if (node && !node->is_array()) {
    Report(aKey, TypeReason("array", *node));
    return nullptr;
  }
  return node ? node->as_array() : nullptr;
}

const toml::table*
TableReader::Table(std::string_view aKey, Presence aPresence)
{
  const toml::node* node = Find(aKey, aPresence);
  if (node && !node->is_table()) {
    Report(aKey, TypeReason("table", *node));
    return nullptr;
  }
  return node ? node->as_table() : nullptr;
}

void
TableReader::ReportUnknownKeys()
{
  for (const auto& [key, node] : mTable) {
    if (mAsked.find(key.str()) == mAsked.end()) {
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
