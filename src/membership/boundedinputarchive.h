// Reads what cereal::PortableBinaryOutputArchive wrote on a little-endian machine, from untrusted
// bytes: a length larger than the bytes that are left is an error and allocates nothing.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/details/helpers.hpp>

#include <cstring>
#include <string_view>
#include <type_traits>

namespace cyclamenlatch::membership {

class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>
{
public:
    // Throws cereal::Exception when the bytes are not little-endian.
    explicit BoundedInputArchive(std::string_view bytes)
        : InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>(this)
        , m_bytes(bytes)
    {
        std::uint8_t littleEndian = 0;
        loadBinary(&littleEndian, sizeof(littleEndian));
        if (littleEndian != 1) {
            throw cereal::Exception("the message is not little-endian");
        }
    }

    void loadBinary(void *data, std::size_t size)
    {
        requireBytes(size);
        if (size > 0) {
            std::memcpy(data, m_bytes.data(), size);
        }
        m_bytes.remove_prefix(size);
    }

    std::size_t remainingBytes() const { return m_bytes.size(); }

    void requireBytes(std::size_t size) const
    {
        if (size > m_bytes.size()) {
            throw cereal::Exception("the message is too short");
        }
    }

private:
    std::string_view m_bytes;
};

// cereal finds the following by these names.
// NOLINTBEGIN(readability-identifier-naming)
template<class Value>
requires std::is_arithmetic_v<Value>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, Value &value)
{
    if constexpr (std::is_same_v<Value, bool>) {
        std::uint8_t byte = 0;
        archive.loadBinary(&byte, sizeof(byte));
        value = byte != 0;
    } else {
        archive.loadBinary(&value, sizeof(value));
    }
}

template<class Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive &archive,
                                    cereal::NameValuePair<Value> &pair)
{
    archive(pair.value);
}

template<class Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive &archive, cereal::SizeTag<Value> &tag)
{
    archive(tag.size);
    archive.requireBytes(tag.size);
}

template<class Value>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, cereal::BinaryData<Value> &data)
{
    archive.loadBinary(data.data, static_cast<std::size_t>(data.size));
}
// NOLINTEND(readability-identifier-naming)

} // namespace cyclamenlatch::membership

CEREAL_REGISTER_ARCHIVE(cyclamenlatch::membership::BoundedInputArchive)

// Names the archive that writes what this one reads.
template<>
struct cereal::traits::detail::get_output_from_input<cyclamenlatch::membership::BoundedInputArchive>
{
    // NOLINTNEXTLINE(readability-identifier-naming): cereal looks for this name.
    using type = cereal::PortableBinaryOutputArchive;
};
