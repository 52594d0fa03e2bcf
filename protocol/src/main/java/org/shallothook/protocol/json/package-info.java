/** Strict parsing of JSON documents, shared by the caller and platform formats. */
package org.shallothook.protocol.json;
