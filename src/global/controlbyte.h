// Tells the bytes of a text that would end or disturb a line of text.
#pragma once

namespace cyclamenlatch {

// Whether the byte is an ASCII control character.
inline bool isControlByte(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return byte < 0x20 || byte == 0x7f;
}

} // namespace cyclamenlatch
