#ifndef TRANSCRIPT_H
#define TRANSCRIPT_H

/* The answers that the stand-ins give and that the load client expects, so
   that an answer to another request is recognised.  */

#include <glib.h>
#include <stdio.h>
#include <xxhash.h>

enum
{
  TRANSCRIPT_TOKEN_MAX = 40 /* bytes of a token with its terminator */
};

/* Writes token I of the answer to PROMPT, the content of the last message of a
   chat, to OUT.  Returns its length, or 0 when the answer of MAX_TOKENS tokens
   ends before I.  */
static inline size_t
transcript_token (const char *prompt, size_t size, unsigned max_tokens,
                  unsigned i, char out[TRANSCRIPT_TOKEN_MAX])
{
  if (i >= max_tokens)
    return 0;
  return (size_t)snprintf (out, TRANSCRIPT_TOKEN_MAX, "%016llx:%u ",
                           (unsigned long long)XXH64 (prompt, size, 0), i);
}

/* Returns the whole answer to PROMPT; the caller frees it.  */
static inline GString *
transcript_whole (const char *prompt, size_t size, unsigned max_tokens)
{
  GString *whole = g_string_new (NULL);
  char token[TRANSCRIPT_TOKEN_MAX];
  unsigned i;

  for (i = 0; transcript_token (prompt, size, max_tokens, i, token) > 0; i++)
    g_string_append (whole, token);
  return whole;
}

#endif
