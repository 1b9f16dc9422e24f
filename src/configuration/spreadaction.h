// What the spread decides to do; the shell carries it out.
#pragma once

#include "configuration/configmessage.h"
#include "store/storeitem.h"

#include <string>
#include <variant>
#include <vector>

namespace cyclamenlatch::configuration {

struct SendMessage
{
    EntryId to;
    ConfigMessage message;
};

// A newer revision is whole; put it in force and report back by SpreadState::putInForce.
struct PublishFleet
{
    store::StoreRevision revision = 0;
    std::vector<std::string> parts;
};

// The set of withdrawn keys has grown.
struct PublishWithdrawn
{
    std::vector<KeyId> ids;
};

// Read the store's configuration whole (after is 0) or wait for changes after a revision.
struct ReadStore
{
    store::StoreRevision after = 0;
};

struct ReadPart
{
    std::string hash;
};

// Add the ids to the store's withdrawn keys.
struct StoreWithdrawn
{
    std::vector<KeyId> ids;
};

using SpreadAction = std::variant<SendMessage, PublishFleet, PublishWithdrawn, ReadStore, ReadPart,
                                  StoreWithdrawn>;
using SpreadActions = std::vector<SpreadAction>;

} // namespace cyclamenlatch::configuration
