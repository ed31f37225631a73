#include "store/EntryReader.h"

#include <utility>

namespace basildeck {

using nlohmann::json;

namespace {

constexpr std::size_t maxReasonLength = 200;

json::exception makeError(const std::string &reason)
{
    return json::other_error::create(501, reason, nullptr);
}

std::optional<std::vector<JsonSlice>> splitMetadata(const JsonSlice *entry, const EntryNames &names)
{
    const auto members = entry == nullptr ? std::nullopt : splitJson(entry->text);
    const JsonSlice *metadata = members ? findSlice(*members, names.metadata) : nullptr;
    return metadata == nullptr ? std::nullopt : splitJson(metadata->text);
}

// Reads name and revision.
StoredObject readIdentity(const JsonSlice *entry, const EntryNames &names)
{
    const auto fields = splitMetadata(entry, names);
    if (!fields)
        throw makeError("no " + std::string(names.metadata));
    StoredObject object;
    object.name = parseSlice(findSlice(*fields, names.name)).get<std::string>();
    const json revision = parseSlice(findSlice(*fields, names.revision));
    if (object.name.empty() || !revision.is_number_unsigned())
        throw makeError("no name or revision");
    object.revision = revision.get<std::uint64_t>();
    return object;
}

} // namespace

std::string reasonOf(const json::exception &error)
{
    return std::string(error.what()).substr(0, maxReasonLength);
}

json parseSlice(const JsonSlice *slice)
{
    if (slice == nullptr)
        throw makeError("missing value");
    if (slice->depth > maxJsonDepth)
        throw makeError("nested " + std::to_string(slice->depth) + " levels deep");
    return json::parse(slice->text);
}

std::string readEntryName(const JsonSlice &entry, const EntryNames &names)
{
    const auto fields = splitMetadata(&entry, names);
    const JsonSlice *name = fields ? findSlice(*fields, names.name) : nullptr;
    if (name == nullptr || !name->text.starts_with('"'))
        return {};
    const json value = json::parse(name->text, nullptr, false);
    if (value.is_string())
        return value.get<std::string>();
    const bool hasEscapes = name->text.find('\\') != std::string_view::npos;
    return hasEscapes ? std::string() : std::string(name->text.substr(1, name->text.size() - 2));
}

std::optional<StoredObject> readEntry(const JsonSlice *entry, const EntryNames &names,
                                      std::vector<UnreadableEntry> &unreadable)
{
    StoredObject object;
    try {
        object = readIdentity(entry, names);
    } catch (const json::exception &error) {
        unreadable.push_back({ {}, 0, reasonOf(error) });
        return std::nullopt;
    }
    try {
        const auto members = splitJson(entry->text);
        object.content = parseSlice(findSlice(*members, names.content));
    } catch (const json::exception &error) {
        unreadable.push_back({ object.name, object.revision, reasonOf(error) });
    }
    return object;
}

} // namespace basildeck
