/*
 * Confirmations that are being collected.
 */
#pragma once

#include "ControlMessage.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace wasabispread {

/** A VM whose part of a tree has not been reported. */
struct AwaitedPart
{
  VmId mVm;
  VmId mRoot;
  ZoneName mZone;
};

/** One collection: for an operator, or for the VM above in the tree. */
struct Collection
{
  /** The operator's exchange; without one the report goes to mReplyTo. */
  std::optional<CallerToken> mToken;
  VmId mReplyTo;
  Endpoint mReplyAddress;
  std::uint64_t mReplyId = 0;
  std::vector<AwaitedPart> mAwaited;
  ConfirmationReport mReport;
};

/** Collections by the id that their requests carry. */
struct ConfirmationState
{
  std::uint64_t mNextId = 1;
  std::unordered_map<std::uint64_t, Collection> mCollections;
};

} // namespace wasabispread
