#ifndef GOLDCRESTHATCH_SLOTMAP_H
#define GOLDCRESTHATCH_SLOTMAP_H

/*
 * NAME
 *   slotmap - table of objects under handles whose generation is checked
 *
 * DESCRIPTION
 *   A handle is a 64-bit number: a slot and the generation of its use.  A
 *   handle kept after its object was removed finds nothing, even when the slot
 *   is in use again.  Objects are pointers that the table doesn't own.  The
 *   caller's lock must guard a table that several threads use.
 */

#include <stddef.h>
#include <stdint.h>

struct slotmap;

/* Returns an empty table for at most CAPACITY objects; memory grows with the
   largest number of objects held.  */
struct slotmap *slotmap_new (uint32_t capacity);
void slotmap_free (struct slotmap *slotmap);

/* Adds OBJECT, which isn't null.  Returns its handle, which is never 0, or 0
   when the table is full.  */
uint64_t slotmap_add (struct slotmap *slotmap, void *object);

/* Returns the object under HANDLE, or null when it was removed.  */
void *slotmap_get (const struct slotmap *slotmap, uint64_t handle);

/* Removes and returns the object under HANDLE, or null when it was removed
   before.  */
void *slotmap_remove (struct slotmap *slotmap, uint64_t handle);

/* Returns the number of objects.  */
uint32_t slotmap_count (const struct slotmap *slotmap);

/* Returns the handle of the first object in a slot after that of HANDLE, or of
   the first object at all when HANDLE is 0; returns 0 at the end.  Objects may
   be removed during an iteration; one added may or may not be visited.  */
uint64_t slotmap_next (const struct slotmap *slotmap, uint64_t handle);

#endif
