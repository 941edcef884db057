#include "manifest/StoreRecords.h"

#include <nlohmann/json.hpp>

namespace amaranthgap {

namespace {

using Json = nlohmann::json;

Json
StampToJson(const ManifestStamp& aStamp)
{
  return { { "version", aStamp.mVersion }, { "digest", aStamp.mDigest } };
}

ManifestStamp
StampFromJson(const Json& aJson)
{
  return { .mVersion = aJson.at("version").get<uint64_t>(),
           .mDigest = aJson.at("digest").get<uint64_t>() };
}

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/** Parses JSON and converts it with aParse. @return an error with the key if
 * the text is not JSON or a field is missing or of another type. */
template<class T, class F>
Result<T>
Parse(const std::string& aText, const std::string& aKey, F&& aParse)
{
  try {
    return aParse(Json::parse(aText));
  } catch (const Json::exception& ex) {
    return Error{ Step::Decode, "store", aKey + ": " + ex.what() };
  }
}

} // namespace

const std::string&
HeadKey()
{
  static const std::string kKey = "manifest/head";
  return kKey;
}

std::string
DeltaKey(uint64_t aVersion, const std::string& aPublishId)
{
  return "manifest/delta/" + std::to_string(aVersion) + "-" + aPublishId;
}

std::string
SnapshotKey(uint64_t aVersion)
{
  return "manifest/snapshot/" + std::to_string(aVersion);
}

std::string
SerializeRecord(const HeadRecord& aRecord)
{
  auto json = StampToJson(aRecord.mStamp);
  json["publish_id"] = aRecord.mPublishId;
  json["snapshot_version"] = aRecord.mSnapshotVersion;
  return Dump(json);
}

std::string
SerializeRecord(const ManifestDelta& aDelta)
{
  return Dump({ { "from", StampToJson(aDelta.mFrom) },
                { "to", StampToJson(aDelta.mTo) },
                { "set", aDelta.mSet },
                { "removed", aDelta.mRemoved },
                { "publish_id", aDelta.mPublishId },
                { "previous_id", aDelta.mPreviousId },
                { "publisher", aDelta.mPublisher },
                { "wall_ms", aDelta.mWallMillis } });
}

std::string
SerializeRecord(const SnapshotRecord& aRecord)
{
  return Dump({ { "stamp", StampToJson(aRecord.mStamp) },
                { "publish_id", aRecord.mPublishId },
                { "entries", aRecord.mEntries },
                { "history", aRecord.mHistory },
                { "previous_snapshot", aRecord.mPreviousSnapshot } });
}

Result<HeadRecord>
ParseHead(const std::string& aText)
{
  return Parse<HeadRecord>(aText, HeadKey(), [](const Json& aJson) {
    HeadRecord record;
    record.mStamp = StampFromJson(aJson);
    record.mPublishId = aJson.at("publish_id").get<std::string>();
    record.mSnapshotVersion = aJson.at("snapshot_version").get<uint64_t>();
    return record;
  });
}

Result<ManifestDelta>
ParseDelta(const std::string& aText)
{
  return Parse<ManifestDelta>(aText, "manifest/delta", [](const Json& aJson) {
    ManifestDelta delta;
    delta.mFrom = StampFromJson(aJson.at("from"));
    delta.mTo = StampFromJson(aJson.at("to"));
    aJson.at("set").get_to(delta.mSet);
    aJson.at("removed").get_to(delta.mRemoved);
    delta.mPublishId = aJson.at("publish_id").get<std::string>();
    delta.mPreviousId = aJson.at("previous_id").get<std::string>();
    delta.mPublisher = aJson.at("publisher").get<std::string>();
    delta.mWallMillis = aJson.at("wall_ms").get<int64_t>();
    return delta;
  });
}

Result<SnapshotRecord>
ParseSnapshot(const std::string& aText)
{
  return Parse<SnapshotRecord>(
    aText, "manifest/snapshot", [](const Json& aJson) {
      SnapshotRecord record;
      record.mStamp = StampFromJson(aJson.at("stamp"));
      record.mPublishId = aJson.at("publish_id").get<std::string>();
      aJson.at("entries").get_to(record.mEntries);
      aJson.at("history").get_to(record.mHistory);
      record.mPreviousSnapshot = aJson.at("previous_snapshot").get<uint64_t>();
      return record;
    });
}

ManifestDelta
ComputeDelta(const ManifestEntries& aOld, const ManifestEntries& aNew)
{
  ManifestDelta delta;
  for (const auto& [name, value] : aNew) {
    if (const auto it = aOld.find(name);
        it == aOld.end() || it->second != value) {
      delta.mSet.emplace_back(name, value);
    }
  }
  for (const auto& [name, value] : aOld) {
    if (!aNew.contains(name)) {
      delta.mRemoved.push_back(name);
    }
  }
  return delta;
}

void
ApplyDelta(ManifestEntries& aEntries, const ManifestDelta& aDelta)
{
  for (const auto& [name, value] : aDelta.mSet) {
    aEntries[name] = value;
  }
  for (const auto& name : aDelta.mRemoved) {
    aEntries.erase(name);
  }
}

} // namespace amaranthgap
