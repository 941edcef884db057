#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/Audit.h"
#include "wire/Messages.h"

namespace amaranthgap {

/** Message that a deciding part wants to have sent. */
struct Outgoing
{
  NodeRef mTo; ///< Id may be empty while joining.
  std::string mAddress;
  bool mDatagram = true;
  Message mMessage;
};

/** Messages and changes that come out of one event. */
struct PeerOutput
{
  std::vector<Outgoing> mSends;
  std::vector<AuditEntry> mAudit;
};

/** A node and where to reach it. */
struct PeerAddress
{
  NodeRef mNode;
  std::string mAddress;
};

/** @return up to the given number of different live members at random. */
using PeerPicker = std::function<std::vector<PeerAddress>(size_t)>;

} // namespace amaranthgap
