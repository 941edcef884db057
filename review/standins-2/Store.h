#pragma once

#include <condition_variable>
#include <list>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "Net.h"

namespace review {

/** Sound stand-in of the platform's store, as its pages describe it: ranges,
 * watches, transactions and leases that end in time. Each machine has an
 * address of its own here, so that the store can turn some machines away. */
class Store
{
public:
  explicit Store(std::string aHost)
    : mHost(std::move(aHost))
  {
  }
  ~Store()
  {
    {
      const std::lock_guard lock(mMutex);
      mStopped = true;
    }
    mChanged.notify_all();
    for (Door& it : mDoors) {
      it.mAcceptor.join();
      for (std::thread& thread : it.mThreads) {
        thread.join();
      }
    }
  }
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  /** @return the address of the store for one more machine. */
  std::string Open(const std::string& aMachine)
  {
    const std::lock_guard lock(mMutex);
    Door& door = mDoors.emplace_back(aMachine, mHost);
    door.mAcceptor = std::thread([this, &door] { Accept(door); });
    return door.mListener.At().Text();
  }
  /** Turns machines away with 503: those that watch the key of the operator,
   * and those that read it next. */
  void TurnAway(size_t aMost)
  {
    const std::lock_guard lock(mMutex);
    mMostTurnedAway = aMost;
    for (Door& it : mDoors) {
      if (it.mWatches > 0) {
        MayTurnAway(it);
      }
    }
    mChanged.notify_all();
  }
  /** Serves all machines again. */
  void TakeBack()
  {
    const std::lock_guard lock(mMutex);
    mMostTurnedAway = 0;
    mTurnedAway.clear();
  }
  /** @return the machines that were turned away, now or before. */
  std::set<std::string> EverTurnedAway()
  {
    const std::lock_guard lock(mMutex);
    return mEverTurnedAway;
  }
  void Put(const std::string& aKey, const std::string& aValue)
  {
    const std::lock_guard lock(mMutex);
    Write(aKey, EncodeBase64(aValue), 0);
    mChanged.notify_all();
  }

private:
  using Json = nlohmann::json;

  static constexpr std::string_view kOperatorKey = "op/config";

  struct Item
  {
    std::string mValue;
    uint64_t mRevision = 0;
    uint64_t mCreated = 0;
    uint64_t mLease = 0;
  };
  struct Lease
  {
    milliseconds mTtl{};
    TimePoint mEnd;
  };
  struct Reply
  {
    int mStatus = 200;
    Json mBody = Json::object();
  };

  static std::string EncodeBase64(const std::string& aText)
  {
    static constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (size_t n = 0; n < aText.size(); n += 3) {
      uint32_t bits = 0;
      for (size_t k = 0; k < 3; ++k) {
        bits = bits << 8U | (n + k < aText.size() ? uint8_t(aText[n + k]) : 0U);
      }
      for (size_t k = 0; k < 4; ++k) {
        out +=
          n + k > aText.size() ? '=' : kDigits[bits >> (18 - 6 * k) & 0x3fU];
      }
    }
    return out;
  }

  /** Where one machine calls. */
  struct Door
  {
    Door(std::string aMachine, const std::string& aHost)
      : mMachine(std::move(aMachine))
      , mListener({ aHost, 0 })
    {
    }

    std::string mMachine;
    Listener mListener;
    size_t mWatches = 0; ///< That wait for a change of the operator's key.
    std::list<std::thread> mThreads;
    std::thread mAcceptor;
  };

  void MayTurnAway(const Door& aDoor)
  {
    if (mTurnedAway.size() < mMostTurnedAway) {
      mTurnedAway.insert(aDoor.mMachine);
      mEverTurnedAway.insert(aDoor.mMachine);
    }
  }

  void Accept(Door& aDoor)
  {
    while (!IsStopped()) {
      if (Socket socket = aDoor.mListener.Accept(); socket.IsOpen()) {
        aDoor.mThreads.emplace_back(
          [this, &aDoor, held = std::make_shared<Socket>(std::move(socket))] {
            Serve(aDoor, *held);
          });
      }
      const std::lock_guard lock(mMutex);
      EndLeases();
    }
  }

  bool IsStopped()
  {
    const std::lock_guard lock(mMutex);
    return mStopped;
  }

  void Serve(Door& aDoor, Socket& aSocket)
  {
    Message request;
    while (!IsStopped()) {
      const auto end = aSocket.Read(request, Clock::now() + milliseconds(200));
      if (end == ReadEnd::Closed) {
        return;
      }
      if (end == ReadEnd::TimedOut) {
        continue;
      }
      const Reply reply = Handle(aDoor, request);
      const std::string body = reply.mBody.dump();
      aSocket.Send("HTTP/1.1 " + std::to_string(reply.mStatus) +
                   " -\r\nContent-Type: application/json\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body);
    }
  }

  Reply Handle(Door& aDoor, const Message& aRequest)
  {
    const std::string target = aRequest.Word(1);
    const std::string path = target.substr(0, target.find('?'));
    std::unique_lock lock(mMutex);
    EndLeases();
    const bool isOperators = Query(target, "prefix") == kOperatorKey;
    if (isOperators) {
      MayTurnAway(aDoor);
    }
    if (mTurnedAway.contains(aDoor.mMachine)) {
      return { .mStatus = 503 };
    }
    if (path == "/v1/kv-range") {
      return Range(Query(target, "prefix"), Query(target, "after"));
    }
    if (path == "/v1/kv-watch") {
      aDoor.mWatches += isOperators ? 1 : 0;
      const Reply reply =
        Watch(lock,
              aDoor,
              Query(target, "prefix"),
              std::stoull(Query(target, "after")),
              milliseconds(std::stoul(Query(target, "waitMs"))));
      aDoor.mWatches -= isOperators ? 1 : 0;
      return reply;
    }
    if (path == "/v1/kv-txn") {
      return Transact(Json::parse(aRequest.mBody));
    }
    if (path == "/v1/kv-lease") {
      const auto ttl = Json::parse(aRequest.mBody).at("ttlMs").get<int64_t>();
      mLeases[++mLastLease] = { milliseconds(ttl),
                                Clock::now() + milliseconds(ttl) };
      return { .mBody = { { "lease", mLastLease }, { "ttlMs", ttl } } };
    }
    if (path.starts_with("/v1/kv-keep/")) {
      const auto it =
        mLeases.find(std::stoull(path.substr(path.rfind('/') + 1)));
      if (it == mLeases.end()) {
        return { .mStatus = 404 };
      }
      it->second.mEnd = Clock::now() + it->second.mTtl;
      return { .mBody = { { "ttlMs", it->second.mTtl.count() } } };
    }
    return { .mStatus = 400 };
  }

  static std::string Query(const std::string& aTarget, const std::string& aName)
  {
    const size_t at = aTarget.find(aName + '=');
    if (at == std::string::npos) {
      return "";
    }
    const size_t from = at + aName.size() + 1;
    return aTarget.substr(from, aTarget.find('&', from) - from);
  }

  Reply Range(const std::string& aPrefix, const std::string& aAfter)
  {
    Json items = Json::array();
    for (const auto& [key, item] : mItems) {
      if (key.starts_with(aPrefix) && key > aAfter) {
        items.push_back({ { "key", key },
                          { "value", item.mValue },
                          { "rev", item.mRevision },
                          { "createdRev", item.mCreated },
                          { "lease", item.mLease } });
      }
    }
    return {
      .mBody = { { "items", items }, { "hasMore", false }, { "at", mRevision } }
    };
  }

  Reply Watch(std::unique_lock<std::mutex>& aLock,
              const Door& aDoor,
              const std::string& aPrefix,
              uint64_t aAfter,
              milliseconds aWait)
  {
    const TimePoint end = Clock::now() + aWait;
    while (true) {
      if (mTurnedAway.contains(aDoor.mMachine)) {
        return { .mStatus = 503 };
      }
      Json events = Json::array();
      for (const Json& it : mEvents) {
        if (it.at("rev").get<uint64_t>() > aAfter &&
            it.at("key").get<std::string>().starts_with(aPrefix)) {
          events.push_back(it);
        }
      }
      if (!events.empty() || mStopped || Clock::now() >= end) {
        return { .mBody = { { "events", events }, { "at", mRevision } } };
      }
      mChanged.wait_until(aLock, end);
    }
  }

  Reply Transact(const Json& aBody)
  {
    for (const Json& row : aBody.at("expectedRev")) {
      const auto it = mItems.find(row.at("key").get<std::string>());
      const uint64_t revision = it == mItems.end() ? 0 : it->second.mRevision;
      if (revision != row.at("rev").get<uint64_t>()) {
        return { .mStatus = 412, .mBody = { { "items", Json::array() } } };
      }
    }
    for (const Json& it : aBody.at("puts")) {
      const auto lease = it.at("lease").get<uint64_t>();
      if (lease != 0 && !mLeases.contains(lease)) {
        return { .mStatus = 404 };
      }
    }
    for (const Json& it : aBody.at("puts")) {
      Write(it.at("key").get<std::string>(),
            it.at("value").get<std::string>(),
            it.at("lease").get<uint64_t>());
    }
    for (const Json& it : aBody.at("deletes")) {
      Remove(it.get<std::string>());
    }
    mChanged.notify_all();
    return { .mBody = { { "rev", mRevision } } };
  }

  void Write(const std::string& aKey,
             const std::string& aValue,
             uint64_t aLease)
  {
    Item& item = mItems[aKey];
    item.mValue = aValue;
    item.mRevision = ++mRevision;
    item.mCreated = item.mCreated == 0 ? mRevision : item.mCreated;
    item.mLease = aLease;
    mEvents.push_back({ { "key", aKey },
                        { "value", aValue },
                        { "rev", mRevision },
                        { "createdRev", item.mCreated },
                        { "lease", aLease } });
  }

  void Remove(const std::string& aKey)
  {
    if (mItems.erase(aKey) > 0) {
      mEvents.push_back(
        { { "key", aKey }, { "rev", ++mRevision }, { "removed", true } });
    }
  }

  void EndLeases()
  {
    std::vector<std::string> ended;
    for (auto it = mLeases.begin(); it != mLeases.end();) {
      if (it->second.mEnd > Clock::now()) {
        ++it;
        continue;
      }
      for (const auto& [key, item] : mItems) {
        if (item.mLease == it->first) {
          ended.push_back(key);
        }
      }
      it = mLeases.erase(it);
    }
    for (const std::string& key : ended) {
      Remove(key);
    }
    if (!ended.empty()) {
      mChanged.notify_all();
    }
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  bool mStopped = false;
  uint64_t mRevision = 1;
  uint64_t mLastLease = 0;
  std::map<std::string, Item> mItems;
  std::map<uint64_t, Lease> mLeases;
  std::vector<Json> mEvents;
  std::string mHost;
  size_t mMostTurnedAway = 0;
  std::set<std::string> mTurnedAway;
  std::set<std::string> mEverTurnedAway;
  std::list<Door> mDoors;
};

} // namespace review
