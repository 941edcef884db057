#include "config/Manifest.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

#include <fmt/format.h>

#include "LimitFields.h"
#include "Names.h"
#include "base/Hash.h"

namespace amaranthgap {

namespace {

template<class T>
std::optional<T>
ParseNumber(std::string_view aText)
{
  T out{};
  const char* end = aText.data() + aText.size();
  const auto [at, ec] = std::from_chars(aText.data(), end, out);
  if (ec != std::errc() || at != end) {
    return std::nullopt;
  }
  return out;
}

Error
EntryError(const std::string& aKey, std::string_view aReason)
{
  return { Step::ReadManifest, aKey, std::string(aReason) };
}

// Removes a field that begins with a prefix such as `importance=`, together
// with the space after it. Returns its value, or nothing if the prefix is
// missing.
std::optional<std::string_view>
ConsumeField(std::string_view& aText, std::string_view aPrefix)
{
  if (!aText.starts_with(aPrefix)) {
    return std::nullopt;
  }
  aText.remove_prefix(aPrefix.size());
  const size_t end = aText.find(' ');
  const auto value = aText.substr(0, end);
  aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
  return value;
}

std::optional<RequestClass>
ParseClass(std::string_view aText)
{
  std::string_view rest = aText;
  const auto importance = ConsumeField(rest, "importance=");
  const auto idempotent = ConsumeField(rest, "idempotent=");
  const auto timeout = ConsumeField(rest, "timeout_ms=");
  if (!importance || !idempotent || !timeout) {
    return std::nullopt;
  }
  const auto level = ParseNumber<uint32_t>(*importance);
  const auto millis = ParseNumber<int64_t>(*timeout);
  if (!level || *level > kMaxImportance || !millis || *millis < kMinTimeoutMs ||
      *millis > kMaxTimeoutMs) {
    return std::nullopt;
  }
  const RequestClass entry{ .mImportance = *level,
                            .mIdempotent = *idempotent == "true",
                            .mTimeout = milliseconds(*millis) };
  // Only the canonical text is accepted, so that equal manifests have equal
  // digests.
  return FormatClass(entry) == aText ? std::optional(entry) : std::nullopt;
}

bool
SetLimit(const LimitField& aField,
         const std::string& aText,
         FleetLimits& aLimits)
{
  const auto value = ParseNumber<double>(aText);
  if (!value || !(*value >= aField.mMin && *value <= aField.mMax)) {
    return false;
  }
  std::visit(
    [&](auto aMember) {
      auto& target = aLimits.*aMember;
      using T = std::remove_reference_t<decltype(target)>;
      if constexpr (std::is_same_v<T, Duration>) {
        target = milliseconds(std::llround(*value));
      } else {
        target = T(*value);
      }
    },
    aField.mMember);
  return FormatLimit(aField, aLimits) == aText;
}

Status
AddLimit(const std::string& aKey,
         std::string_view aName,
         const std::string& aValue,
         FleetLimits& aLimits)
{
  for (const LimitField& field : kLimitFields) {
    if (field.mKey == aName) {
      return SetLimit(field, aValue, aLimits)
               ? Status(boost::outcome_v2::success())
               : Status(EntryError(
                   aKey, "value is out of range or not in canonical form"));
    }
  }
  return EntryError(aKey, "unknown limit");
}

Status
AddClass(const std::string& aKey,
         std::string_view aPath,
         const std::string& aValue,
         Manifest& aManifest)
{
  const size_t slash = aPath.find('/');
  if (slash == std::string_view::npos || !IsValidName(aPath.substr(0, slash)) ||
      !IsValidName(aPath.substr(slash + 1))) {
    return EntryError(aKey, "not of the form classes/<service>/<name>");
  }
  const auto entry = ParseClass(aValue);
  if (!entry) {
    return EntryError(aKey, "value is not a valid class");
  }
  aManifest.mServices[std::string(aPath.substr(0, slash))].emplace(
    aPath.substr(slash + 1), *entry);
  return boost::outcome_v2::success();
}

Status
AddEntry(const std::string& aKey, const std::string& aValue, Manifest& aOut)
{
  const std::string_view key = aKey;
  const size_t slash = std::min(key.find('/'), key.size());
  const auto kind = key.substr(0, slash);
  const auto rest = key.substr(std::min(slash + 1, key.size()));
  if (kind == "classes") {
    return AddClass(aKey, rest, aValue, aOut);
  }
  if (kind == "limits") {
    return AddLimit(aKey, rest, aValue, aOut.mLimits);
  }
  if (kind != "callers") {
    return EntryError(aKey, "unknown kind of entry");
  }
  if (!IsValidName(rest) || !IsValidName(aValue)) {
    return EntryError(aKey, "caller or party is not a valid name");
  }
  aOut.mCallers.emplace(rest, CallerIdentity{ aValue });
  return boost::outcome_v2::success();
}

void
AppendLengthPrefixed(std::string& aOut, const std::string& aPart)
{
  aOut += fmt::format("{}:", aPart.size());
  aOut += aPart;
}

} // namespace

std::string
ConfigProblem::ToString() const
{
  return fmt::format("{}:{}: {}: {}", mFile, mLine, mKey, mReason);
}

const CallerIdentity*
Manifest::FindCaller(std::string_view aName) const
{
  const auto it = mCallers.find(aName);
  return it == mCallers.end() ? nullptr : &it->second;
}

const RequestClass*
Manifest::FindClass(std::string_view aService, std::string_view aName) const
{
  const auto service = mServices.find(aService);
  if (service == mServices.end()) {
    return nullptr;
  }
  const auto it = service->second.find(aName);
  return it == service->second.end() ? nullptr : &it->second;
}

std::string
FormatLimit(const LimitField& aField, const FleetLimits& aLimits)
{
  return std::visit(
    [&](auto aMember) {
      const auto& value = aLimits.*aMember;
      using T = std::remove_cvref_t<decltype(value)>;
      if constexpr (std::is_same_v<T, Duration>) {
        return fmt::format("{}", ToMillis(value));
      } else {
        return fmt::format("{}", value);
      }
    },
    aField.mMember);
}

std::string
FormatClass(const RequestClass& aClass)
{
  return fmt::format("importance={} idempotent={} timeout_ms={}",
                     aClass.mImportance,
                     aClass.mIdempotent,
                     ToMillis(aClass.mTimeout));
}

Result<Manifest>
BuildManifest(uint64_t aVersion, const ManifestEntries& aEntries)
{
  Manifest out{ .mVersion = aVersion, .mDigest = ComputeDigest(aEntries) };
  size_t size = 0;
  for (const auto& [key, value] : aEntries) {
    size += key.size() + value.size();
    if (size > kMaxManifestBytes) {
      return EntryError(key, "the manifest is larger than 1 MB");
    }
    if (auto status = AddEntry(key, value, out); !status) {
      return status.error();
    }
  }
  return out;
}

uint64_t
ComputeDigest(const ManifestEntries& aEntries)
{
  // Length prefixes distinguish entries whose concatenations are equal.
  std::string text;
  for (const auto& [key, value] : aEntries) {
    AppendLengthPrefixed(text, key);
    AppendLengthPrefixed(text, value);
  }
  return Hash64(text);
}

} // namespace amaranthgap
