#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

#include <msgpack.hpp>

namespace amaranthgap {

/** Strongly typed string identifier; `Tag` keeps the kinds apart. */
template<class Tag>
struct StringId
{
  std::string mValue;

  auto operator<=>(const StringId&) const = default;
  [[nodiscard]] bool IsEmpty() const { return mValue.empty(); }
  MSGPACK_DEFINE(mValue)
};

/** Strongly typed numeric identifier; `Tag` keeps the kinds apart. */
template<class Tag>
struct NumberId
{
  uint64_t mValue = 0;

  auto operator<=>(const NumberId&) const = default;
  MSGPACK_DEFINE(mValue)
};

/** Name of one host slot; stays the same when the host is replaced. */
using NodeId = StringId<struct NodeIdTag>;

/** Identifier of a root request, as in the header X-Request-Id. */
using RequestId = StringId<struct RequestIdTag>;

/** One run of a node. A higher value replaces a lower one of the same NodeId;
 * 0 stands for a run that is not yet known. */
using Incarnation = NumberId<struct IncarnationTag>;

/** Call issued by one incarnation of an entry node. */
using CallId = NumberId<struct CallIdTag>;

/** Execution admitted by one incarnation of a target node. */
using ExecutionId = NumberId<struct ExecutionIdTag>;

/** Caller connection that waits for an answer, chosen by the shell. */
using CallerHandle = NumberId<struct CallerHandleTag>;

/** One run of one node. */
struct NodeRef
{
  NodeId mId;
  Incarnation mIncarnation;

  auto operator<=>(const NodeRef&) const = default;
  MSGPACK_DEFINE(mId, mIncarnation)
};

} // namespace amaranthgap

template<class Tag>
struct std::hash<amaranthgap::StringId<Tag>>
{
  size_t operator()(const amaranthgap::StringId<Tag>& aId) const noexcept
  {
    return std::hash<std::string>{}(aId.mValue);
  }
};

template<class Tag>
struct std::hash<amaranthgap::NumberId<Tag>>
{
  size_t operator()(const amaranthgap::NumberId<Tag>& aId) const noexcept
  {
    return std::hash<uint64_t>{}(aId.mValue);
  }
};
